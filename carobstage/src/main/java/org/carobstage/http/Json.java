package org.carobstage.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/** Reads and writes JSON. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .findAndRegisterModules()
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /**
     * Writes a value.
     *
     * @param value the value
     * @return its JSON in UTF-8
     * @throws CodedException if the value can't be written
     */
    public static byte[] writeBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "JSON could not be written", e);
        }
    }

    /**
     * Writes a value as text.
     *
     * @param value the value
     * @return its JSON
     * @throws CodedException if the value can't be written
     */
    public static String writeString(Object value) {
        return new String(writeBytes(value), StandardCharsets.UTF_8);
    }

    /**
     * Reads a value.
     *
     * @param <T> the type of the value
     * @param buffer the JSON in UTF-8
     * @param type the class of the value
     * @return the value
     * @throws CodedException if the JSON is malformed or does not fit the type
     */
    public static <T> T read(Buffer buffer, Class<T> type) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return read(bytes, type);
    }

    /**
     * Reads a value.
     *
     * @param <T> the type of the value
     * @param bytes the JSON in UTF-8
     * @param type the class of the value
     * @return the value
     * @throws CodedException if the JSON is malformed or does not fit the type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        requireNonNull(bytes, "bytes is null");
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "JSON value is null");
            }
            return value;
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "malformed JSON", e);
        }
    }
}
