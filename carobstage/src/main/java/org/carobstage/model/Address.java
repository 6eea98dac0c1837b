package org.carobstage.model;

import static java.util.Objects.requireNonNull;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;

/**
 * An IP address and a TCP port.
 *
 * @param host the IP address
 * @param port the port, 0 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Rejects a null host and a port out of range.
     *
     * @throws IllegalArgumentException if the port is out of range
     */
    public Address {
        requireNonNull(host, "host is null");
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port is out of range: " + port);
        }
    }

    /**
     * Creates an address.
     *
     * @param host the IP address
     * @param port the port
     * @return the address
     * @throws IllegalArgumentException if the port is out of range
     */
    public static Address of(String host, int port) {
        return new Address(host, port);
    }

    /**
     * Parses an address in the form {@code host:port}.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not host:port: " + text);
        }
        String port = text.substring(colon + 1).trim();
        try {
            return new Address(text.substring(0, colon).trim(), Integer.parseInt(port));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not a port: " + port, e);
        }
    }

    /**
     * Parses an address in the form {@code host:port} whose host is an IP address. The lookup of a
     * name would block the caller.
     *
     * @param text the text to parse
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Address parseIp(String text) {
        Address address = parse(text);
        if (!NetUtil.isValidIpV4Address(address.host)
                && !NetUtil.isValidIpV6Address(address.host)) {
            throw new IllegalArgumentException("not an IP address: " + address.host);
        }
        return address;
    }

    /**
     * Returns this address as a socket address.
     *
     * @return the socket address
     */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
