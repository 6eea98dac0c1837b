package org.carobstage.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Executors;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.carobstage.model.Address;
import org.carobstage.testbed.platform.PlatformServer;
import org.carobstage.testbed.platform.PlatformStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandTreeTest {
    private static final String DOCUMENT =
            """
            [service]
            name = forms
            patience = 3 s
            time-zone = America/Recife
            [class filing]
            access = write
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final PlatformStore store = PlatformStore.empty(() -> 0);
    private Executor executor;
    private PlatformServer platform;
    @TempDir private Path directory;

    @BeforeEach
    void start() {
        executor = Executors.newCachedThreadExecutor();
        platform = PlatformServer.of(store, Address.of("127.0.0.1", 0), executor);
    }

    @AfterEach
    void stop() {
        platform.close();
        executor.closeAsync().subscribe();
    }

    @Nested
    class Usage {
        @Test
        void shouldPrintHelpWhenRequestedAtEachCommandLevel() {
            assertThat(run("--help")).isEqualTo(ExitCode.OK);
            assertThat(run("document", "--help")).isEqualTo(ExitCode.OK);
            assertThat(run("document", "put", "--help")).isEqualTo(ExitCode.OK);

            assertThat(out.toString()).contains("timeline", "history", "--replace");
        }

        // An operator can't tell two builds apart.
        @Test
        void shouldPrintBuildWhenVersionIsRequested() {
            assertThat(run("--version")).isEqualTo(ExitCode.OK);

            assertThat(out.toString()).contains("version=", "digest=", "commit=", "jdk=17");
        }

        @Test
        void shouldReturnUsageWhenCommandOrFileIsMissingOrUnknown() {
            assertThat(run()).isEqualTo(ExitCode.USAGE);
            assertThat(run("group")).isEqualTo(ExitCode.USAGE);
            assertThat(run("nothing")).isEqualTo(ExitCode.USAGE);
            assertThat(run("serve", "--settings", "/no/such/file")).isEqualTo(ExitCode.USAGE);
        }
    }

    @Nested
    class Document {
        @Test
        void shouldStoreNothingWhenDocumentIsInvalid() throws IOException {
            assertThat(put(DOCUMENT + "colour = red\n", 0)).isEqualTo(ExitCode.USAGE);

            assertThat(err.toString()).contains("d.ini:7: [class filing] colour: unknown key");
            assertThat(store.get("config/documents/forms").version()).isZero();
        }

        @Test
        void shouldPrintDifferenceWhenStoredVersionIsNewer() throws IOException {
            put(DOCUMENT, 0);
            put(DOCUMENT.replace("3 s", "4 s"), 1);

            assertThat(put(DOCUMENT.replace("3 s", "5 s"), 1)).isEqualTo(ExitCode.CONFLICT);
            assertThat(err.toString())
                    .contains(
                            "not stored: the current version is 2, not 1",
                            "- patience = 4 s",
                            "+ patience = 5 s");
            assertThat(store.get("config/documents/forms").value()).contains("4 s");
        }

        @Test
        void shouldPrintReplacedVersionsWhenHistoryIsRequested() throws IOException {
            put(DOCUMENT, 0);
            put(DOCUMENT.replace("3 s", "4 s"), 1);

            assertThat(run("document", "history", "--name", "forms", "--platform", address()))
                    .isEqualTo(ExitCode.OK);
            assertThat(out.toString())
                    .contains("version 2 (current)", "- patience = 3 s", "+ patience = 4 s");
        }

        @Test
        void shouldReturnUnavailableWhenPlatformDoesNotRespond() throws IOException {
            platform.close();

            assertThat(put(DOCUMENT, 0)).isEqualTo(ExitCode.UNAVAILABLE);
        }
    }

    private ExitCode put(String document, long replacedVersion) throws IOException {
        Path file = Files.writeString(directory.resolve("d.ini"), document);
        return run(
                "document",
                "put",
                "--platform",
                address(),
                "--file",
                file.toString(),
                "--replace",
                Long.toString(replacedVersion));
    }

    private String address() {
        return platform.address().toString();
    }

    private ExitCode run(String... args) {
        Console console = new Console(printStream(out), printStream(err));
        return CommandTree.of().run(console, args);
    }

    private static PrintStream printStream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
