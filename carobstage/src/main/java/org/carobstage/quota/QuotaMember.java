package org.carobstage.quota;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.carobstage.error.CodedException;
import org.carobstage.json.StreamingJson;

/**
 * The value of the store key by which a process registers for an equal share.
 *
 * @param run the run of the process, which differs from that of earlier processes on its VM
 * @param stage how far its registration has got
 */
record QuotaMember(String run, Stage stage) {
    QuotaMember {
        requireNonNull(run, "run is null");
        requireNonNull(stage, "stage is null");
    }

    String format() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("run", run);
        fields.put("stage", stage.name());
        return StreamingJson.writeString(fields);
    }

    /**
     * Parses a value.
     *
     * @param text the value of the key
     * @return the member
     * @throws IllegalArgumentException if the text is not the value of a member
     */
    static QuotaMember parse(String text) {
        try {
            JsonNode fields = StreamingJson.readTree(text.getBytes(StandardCharsets.UTF_8));
            if (fields != null && fields.path("run").isTextual()) {
                return new QuotaMember(
                        fields.path("run").asText(), parseStage(fields.path("stage").asText()));
            }
        } catch (CodedException e) {
            throw new IllegalArgumentException("not the value of a member", e);
        }
        throw new IllegalArgumentException("not the value of a member");
    }

    private static Stage parseStage(String name) {
        return Stream.of(Stage.values())
                .filter(stage -> stage.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("not the value of a member"));
    }

    /** How far the registration of a process has got. */
    enum Stage {
        /** Processes that have lost the store may divide the rate without this one. */
        NEW,
        /** Owners withhold the share of this process while it sends them nothing. */
        ESTABLISHED,
        /** Every owner knows that, so this process may use its share. */
        SHARING
    }
}
