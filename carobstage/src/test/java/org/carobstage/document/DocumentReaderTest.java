package org.carobstage.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.carobstage.settings.ValidationError;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @Nested
    class Validate {
        @Test
        void shouldReportNoErrorsWhenDocumentIsAnExample() throws IOException {
            for (String name : List.of("agreste/familia-forms.ini", "luzon/aftercare.ini")) {
                String text = Files.readString(EXAMPLES.resolve(name));

                assertThat(DocumentReader.validate(name, text).errors()).isEmpty();
            }
        }

        @Test
        void shouldReportEachErrorWhenThereAreSeveral() {
            String text =
                    """
                    [service]
                    name = forms
                    patience = 0 s
                    time-zone = Mars/Olympus
                    [class filing]
                    access = write
                    staleness = 3 s
                    idempotent = maybe
                    [class list]
                    access = look
                    [hours night]
                    from = 22:00
                    to = 06:00
                    patience = 3 s
                    [hours dawn]
                    from = 05:00
                    to = 07:00
                    patience = 3 s
                    pause = 1 s
                    """;

            assertThat(DocumentReader.validate("d", text).errors())
                    .extracting(ValidationError::toString)
                    .containsExactlyInAnyOrder(
                            "d:3: [service] patience: out of range: 0 ms is not in 1 ms to"
                                    + " 60000 ms",
                            "d:4: [service] time-zone: Unknown time-zone ID: Mars/Olympus",
                            "d:7: [class filing] staleness: only allowed with access = read",
                            "d:8: [class filing] idempotent: neither yes nor no: maybe",
                            "d:10: [class list] access: look is not one of read, write",
                            "d:15: [hours dawn]: overlaps with [hours night]",
                            "d:19: [hours dawn] pause: unknown key");
        }
    }
}
