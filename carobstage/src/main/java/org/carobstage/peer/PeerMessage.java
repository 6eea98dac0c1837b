package org.carobstage.peer;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;
import org.msgpack.value.ValueType;

/** Encodes messages between processes in MessagePack and checks them when they are decoded. */
public final class PeerMessage {
    /** No message nests deeper; the limit bounds the stack that a malformed one can use. */
    private static final int MAX_DEPTH = 4;

    /** Messages are short; the default buffer of 8 KiB would be allocated for each. */
    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(256);

    private PeerMessage() {}

    /**
     * Encodes a message.
     *
     * @param value the message, of lists, texts, numbers and booleans
     * @return the encoded message
     */
    public static byte[] encode(Object value) {
        requireNonNull(value, "value is null");
        try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
            pack(packer, value);
            return packer.toByteArray();
        } catch (IOException e) {
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
    public static ArrayValue decodeList(byte[] message, int minSize, int maxSize) {
        requireComplete(message);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
            return requireList(unpack(unpacker, 0), minSize, maxSize);
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
    public static ArrayValue requireList(Value value, int minSize, int maxSize) {
        if (!value.isArrayValue()) {
            throw new IllegalArgumentException("not a list");
        }
        ArrayValue list = value.asArrayValue();
        if (list.size() < minSize || list.size() > maxSize) {
            throw new IllegalArgumentException("list of " + list.size() + " elements");
        }
        return list;
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
    public static long requireNumber(Value value, long min, long max) {
        if (!value.isIntegerValue() || !value.asIntegerValue().isInLongRange()) {
            throw new IllegalArgumentException("not a whole number");
        }
        long number = value.asIntegerValue().asLong();
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
    public static boolean requireBoolean(Value value) {
        if (!value.isBooleanValue()) {
            throw new IllegalArgumentException("not a truth value");
        }
        return value.asBooleanValue().getBoolean();
    }

    /**
     * Checks that a value is a text that is neither blank nor too long.
     *
     * @param value the value
     * @param maxLength the longest length
     * @return the text
     * @throws IllegalArgumentException if it is not
     */
    public static String requireText(Value value, int maxLength) {
        if (!value.isStringValue()) {
            throw new IllegalArgumentException("not a text");
        }
        String text = value.asStringValue().toString();
        if (text.isBlank()) {
            throw new IllegalArgumentException("not a text");
        }
        if (text.length() > maxLength) {
            throw new IllegalArgumentException("text of " + text.length());
        }
        return text;
    }

    private static Value unpack(MessageUnpacker unpacker, int depth) throws IOException {
        if (unpacker.getNextFormat().getValueType() == ValueType.MAP || depth > MAX_DEPTH) {
            throw new IllegalArgumentException("nested too deeply, or a map");
        }
        if (unpacker.getNextFormat().getValueType() != ValueType.ARRAY) {
            return unpacker.unpackValue();
        }
        Value[] elements = new Value[unpacker.unpackArrayHeader()];
        for (int i = 0; i < elements.length; i++) {
            elements[i] = unpack(unpacker, depth + 1);
        }
        return ValueFactory.newArray(elements, true);
    }

    private static void pack(MessagePacker packer, Object value) throws IOException {
        if (value instanceof List<?> list) {
            packer.packArrayHeader(list.size());
            for (Object element : list) {
                pack(packer, element);
            }
        } else if (value instanceof String text) {
            packer.packString(text);
        } else if (value instanceof Boolean truth) {
            packer.packBoolean(truth);
        } else if (value instanceof Integer || value instanceof Long) {
            packer.packLong(((Number) value).longValue());
        } else {
            throw new IllegalArgumentException("no part of a message: " + value.getClass());
        }
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
