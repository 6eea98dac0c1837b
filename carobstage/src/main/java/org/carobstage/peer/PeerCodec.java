package org.carobstage.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.util.function.Function;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.event.HybridTime;
import org.carobstage.model.Address;
import org.carobstage.model.FailureDomain;
import org.carobstage.model.VmId;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Writes and reads the messages of the peer protocol in MessagePack. */
public final class PeerCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(values())
                    .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private PeerCodec() {}

    /**
     * Writes a message.
     *
     * @param time the sender's hybrid logical time
     * @param message the message
     * @return its bytes
     */
    public static byte[] write(HybridTime time, PeerMessage message) {
        return bytes(new Envelope(time, message));
    }

    /**
     * Reads a message; fields that this version does not know are skipped.
     *
     * @param bytes the bytes
     * @return the message with its time
     * @throws CodedException if the bytes are malformed or of a kind that is not known
     */
    public static Envelope read(byte[] bytes) {
        Envelope envelope = value(bytes, Envelope.class);
        if (envelope.time() == null || envelope.message() == null) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "message or time is missing");
        }
        return envelope;
    }

    /**
     * A message with the time at its sender.
     *
     * @param time the hybrid logical time
     * @param message the message
     */
    public record Envelope(HybridTime time, PeerMessage message) {}

    static byte[] write(Greeting greeting) {
        return bytes(new Opening(greeting));
    }

    static Greeting readGreeting(byte[] bytes) {
        Greeting greeting = value(bytes, Opening.class).greeting();
        if (greeting == null) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "greeting is missing");
        }
        return greeting;
    }

    private static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "message could not be written", e);
        }
    }

    private static <T> T value(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "message is nil");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "malformed peer message", e);
        }
    }

    private static SimpleModule values() {
        SimpleModule module = new SimpleModule();
        text(module, Address.class, Address::parse);
        text(module, VmId.class, VmId::of);
        text(module, FailureDomain.class, FailureDomain::of);
        return module;
    }

    private static <T> void text(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new TextDeserializer<>(type, parse));
    }

    private record Opening(Greeting greeting) {}

    private static final class TextDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parse;

        private TextDeserializer(Class<T> type, Function<String, T> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context) {
            return parse.apply(text);
        }
    }
}
