package org.carobstage.json;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/** Reads trees and writes maps, lists, texts, numbers and booleans as JSON. */
public final class StreamingJson {
    /** Bounds the recursion; the deepest value that is read has four levels. */
    private static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY =
            new JsonFactoryBuilder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                    .build();

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private StreamingJson() {}

    /**
     * Reads a tree.
     *
     * @param bytes the JSON in UTF-8
     * @return the root of the tree
     * @throws CodedException if the JSON is malformed or nested too deeply
     */
    public static JsonNode readTree(byte[] bytes) {
        requireNonNull(bytes, "bytes is null");
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            if (parser.nextToken() == null) {
                throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "JSON is empty");
            }
            return readNode(parser);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.MALFORMED_REQUEST, "malformed JSON", e);
        }
    }

    /**
     * Writes an object.
     *
     * @param fields the fields; a value is a map, a list, a text, a number, a boolean or null
     * @return its JSON in UTF-8
     */
    public static byte[] writeBytes(Map<String, ?> fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            writeValue(generator, fields);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.INTERNAL, "JSON could not be written", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Writes an object as text.
     *
     * @param fields the fields; a value is a map, a list, a text, a number, a boolean or null
     * @return its JSON
     */
    public static String writeString(Map<String, ?> fields) {
        return new String(writeBytes(fields), StandardCharsets.UTF_8);
    }

    private static JsonNode readNode(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static ObjectNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, readNode(parser));
        }
        return object;
    }

    private static ArrayNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readNode(parser));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> fields) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> field : fields.entrySet()) {
                generator.writeFieldName(field.getKey().toString());
                writeValue(generator, field.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> items) {
            generator.writeStartArray();
            for (Object item : items) {
                writeValue(generator, item);
            }
            generator.writeEndArray();
        } else {
            // Without a codec, the generator accepts simple values only.
            generator.writeObject(value);
        }
    }
}
