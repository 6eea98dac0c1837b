package org.carobstage.front;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import org.carobstage.sql.Statement;

/** A statement that a client has prepared, with the name that all sessions share for it. */
final class PreparedStatement {
    /** Longer texts are named by their digest, since a message holds both the name and the text. */
    private static final int MAX_ENCODED_LENGTH = 64;

    private static final HexFormat HEX = HexFormat.of();

    private final boolean write;
    private final String queryText;
    private final String sharedName;

    private PreparedStatement(boolean write, String queryText) {
        this.write = write;
        this.queryText = requireNonNull(queryText, "queryText is null");
        this.sharedName = name(write, queryText);
    }

    /**
     * Creates a prepared statement.
     *
     * @param write whether it writes
     * @param queryText the statement text
     * @return the prepared statement
     */
    static PreparedStatement of(boolean write, String queryText) {
        return new PreparedStatement(write, queryText);
    }

    boolean isWrite() {
        return write;
    }

    String queryText() {
        return queryText;
    }

    /**
     * Returns the name under which the statement is prepared at instances, for all sessions.
     *
     * @return a name without blanks of at most 66 characters, different for different statements
     */
    String sharedName() {
        return sharedName;
    }

    /** Replaces the client's name of a prepared statement by the name shared by all sessions. */
    static Statement withSharedName(Statement statement, Optional<PreparedStatement> prepared) {
        if (statement instanceof Statement.Execute execute && prepared.isPresent()) {
            return new Statement.Execute(prepared.get().sharedName(), execute.arguments());
        }
        return statement;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PreparedStatement that
                && write == that.write
                && queryText.equals(that.queryText);
    }

    @Override
    public int hashCode() {
        return Objects.hash(write, queryText);
    }

    @Override
    public String toString() {
        return sharedName;
    }

    private static String name(boolean write, String queryText) {
        String encoded = encode(queryText);
        return encoded.length() <= MAX_ENCODED_LENGTH
                ? (write ? "w_" : "r_") + encoded
                : (write ? "W_" : "R_") + digest(queryText);
    }

    /** Keeps letters and digits, and replaces each other character by its four-digit code. */
    private static String encode(String text) {
        StringBuilder encoded = new StringBuilder();
        for (int i = 0; i < text.length() && encoded.length() <= MAX_ENCODED_LENGTH; i++) {
            char c = text.charAt(i);
            if (isLetterOrDigit(c)) {
                encoded.append(c);
            } else {
                encoded.append('_').append(HEX.toHexDigits(c));
            }
        }
        return encoded.toString();
    }

    private static boolean isLetterOrDigit(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
    }

    private static String digest(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HEX.formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_16BE)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
