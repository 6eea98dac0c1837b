package org.carobstage.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carobstage.error.CodedException;
import org.carobstage.http.Json;
import org.junit.jupiter.api.Test;

class StreamingJsonTest {
    // Guards against a tree that differs from the one that data binding reads.
    @Test
    void shouldReadTheSameTreeAsDataBinding() {
        List.of(
                        "{}",
                        "[]",
                        "\"caf\\u00e9 \\n\"",
                        "null",
                        "{\"a\":{\"b\":[1,-2,3.5,true,false,null,\"x\"]},\"c\":9007199254740993}",
                        "{\"a\":1,\"a\":2}",
                        "[123456789012345678901234567890, 1e3, 0.25]",
                        " {\"a\" : [ [ ] , { } ] } ")
                .forEach(
                        text ->
                                assertThat(read(text))
                                        .as(text)
                                        .isEqualTo(Json.read(bytes(text), JsonNode.class)));
    }

    // Guards against values that readers of the store and of the logs would not understand.
    @Test
    void shouldWriteTheSameTextAsDataBinding() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("text", "a \"quoted\" \u0001 café");
        fields.put("number", 1L << 40);
        fields.put("fraction", 0.5);
        fields.put("flag", true);
        fields.put("none", null);
        fields.put("list", List.of(Map.of("key", "k", "revision", 0L), List.of()));

        assertThat(StreamingJson.writeString(fields)).isEqualTo(Json.writeString(fields));
    }

    // Guards against an entry of another writer that ends the process or the task that reads it.
    @Test
    void shouldRejectMalformedAndDeeplyNestedTexts() {
        List.of("", "{", "[1,", "{\"a\"}", "nul", "\"open", "[".repeat(100_000))
                .forEach(
                        text ->
                                assertThatThrownBy(() -> read(text))
                                        .as(text)
                                        .isInstanceOf(CodedException.class));
    }

    private static JsonNode read(String text) {
        return StreamingJson.readTree(bytes(text));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
