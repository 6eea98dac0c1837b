package org.carobstage.peer;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages between processes in MessagePack and checks them when they are decoded. */
public final class PeerMessage {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private PeerMessage() {}

    /**
     * Encodes a message.
     *
     * @param value the message, of lists, texts, numbers and booleans
     * @return the encoded message
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(requireNonNull(value, "value is null"));
        } catch (JsonProcessingException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "peer message could not be encoded", e);
        }
    }

    /**
     * Decodes a message that is a list.
     *
     * @param message the encoded message
     * @param minSize the smallest number of elements
     * @param maxSize the largest number of elements
     * @return the list
     * @throws IllegalArgumentException if the message is malformed or has another number of
     *     elements
     */
    public static JsonNode decodeList(byte[] message, int minSize, int maxSize) {
        requireComplete(message);
        try {
            return requireList(MAPPER.readTree(message), minSize, maxSize);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed message: " + e.getMessage(), e);
        }
    }

    /**
     * Checks that a value is a list of a permitted size.
     *
     * @param value the value
     * @param minSize the smallest size
     * @param maxSize the largest size
     * @return the list
     * @throws IllegalArgumentException if it is not
     */
    public static JsonNode requireList(JsonNode value, int minSize, int maxSize) {
        if (value == null || !value.isArray()) {
            throw new IllegalArgumentException("not a list");
        }
        if (value.size() < minSize || value.size() > maxSize) {
            throw new IllegalArgumentException("list of " + value.size() + " elements");
        }
        return value;
    }

    /**
     * Checks that a value is a whole number within a range.
     *
     * @param value the value
     * @param min the lowest number
     * @param max the highest number
     * @return the number
     * @throws IllegalArgumentException if it is not
     */
    public static long requireNumber(JsonNode value, long min, long max) {
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("not a whole number");
        }
        long number = value.longValue();
        if (number < min || number > max) {
            throw new IllegalArgumentException("number out of range: " + number);
        }
        return number;
    }

    /**
     * Checks that a value is a truth value.
     *
     * @param value the value
     * @return the truth value
     * @throws IllegalArgumentException if it is not
     */
    public static boolean requireBoolean(JsonNode value) {
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("not a truth value");
        }
        return value.booleanValue();
    }

    /**
     * Checks that a value is a text that is neither blank nor too long.
     *
     * @param value the value
     * @param maxLength the longest length
     * @return the text
     * @throws IllegalArgumentException if it is not
     */
    public static String requireText(JsonNode value, int maxLength) {
        if (!value.isTextual() || value.textValue().isBlank()) {
            throw new IllegalArgumentException("not a text");
        }
        if (value.textValue().length() > maxLength) {
            throw new IllegalArgumentException("text of " + value.textValue().length());
        }
        return value.textValue();
    }

    /**
     * Checks that all values are complete before any is decoded: the decoder allocates as many
     * bytes as the header of a value announces, up to 2 GiB.
     */
    private static void requireComplete(byte[] message) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
            unpacker.skipValue();
            if (unpacker.getTotalReadBytes() != message.length) {
                throw new IllegalArgumentException("message does not end with its value");
            }
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed message: " + e.getMessage(), e);
        }
    }
}
