package org.carobstage.build;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against programs in {@code target/} that are not of the present sources. Runs the build's
 * script on a small tree, with a Maven that lists the sources in place of a JAR file.
 */
class BuildScriptTest {
    private static final Path SCRIPTS = Path.of("..", "bin");
    private static final Path SOURCE = Path.of("carobstage", "src", "main", "A.java");
    private static final Path OTHER_SOURCE = Path.of("platform", "src", "main", "B.java");

    private static final String MAVEN =
            """
            #!/usr/bin/env bash
            set -e
            echo build >> builds
            [ ! -e maven-fails ] || exit 1
            for module in platform carobstage-testbed; do
              mkdir -p $module/target
              cat */src/main/*.java > $module/target/carobstage-${module#carobstage-}-1-all.jar
            done
            """;

    private static final String ARCHIVE =
            """
            #!/usr/bin/env bash
            [ ! -e archive-fails ] || exit 1
            echo archive > "$1/target/carobstage.jsa"
            """;

    @TempDir private Path tree;

    @BeforeEach
    void createTree() throws IOException {
        for (String module : List.of("carobstage", "platform", "carobstage-testbed")) {
            write(Path.of(module, "pom.xml"), module);
            write(Path.of(module, "src", "main", module + ".java"), module);
        }
        write(Path.of("pom.xml"), "parent");
        write(SOURCE, "first A");
        write(OTHER_SOURCE, "first B");
        Files.createDirectories(tree.resolve(".mvn"));
        for (String script : List.of("build", "source-digest", "session", "free-port")) {
            Path copy = tree.resolve("bin").resolve(script);
            Files.createDirectories(copy.getParent());
            Files.copy(SCRIPTS.resolve(script), copy);
        }
        writeProgram(Path.of("bin", "archive-classes"), ARCHIVE);
        writeProgram(Path.of("tools", "mvn"), MAVEN);
    }

    // The old program stays if its files were carried over and are newer than the sources.
    @Test
    void shouldBuildAgainWhenOutputsOfOtherSourcesAreNewer() throws Exception {
        assertThat(build()).isZero();
        write(SOURCE, "second A");
        setAge(SOURCE, -3_600);

        assertThat(build()).isZero();

        assertThat(program()).contains("second A").doesNotContain("first A");
    }

    // The class of a source that a change of branch deleted stays in the program.
    @Test
    void shouldBuildAgainWhenSourceWasDeleted() throws Exception {
        assertThat(build()).isZero();
        Files.delete(tree.resolve(OTHER_SOURCE));
        write(Path.of("platform", "target", "classes", "B.class"), "first B");

        assertThat(build()).isZero();

        assertThat(program()).contains("first A").doesNotContain("first B");
        assertThat(tree.resolve("platform/target/classes/B.class")).doesNotExist();
    }

    // A build that was ended after Maven leaves newer files, so that the next one keeps the rest.
    @Test
    void shouldBuildAgainWhenEarlierBuildEndedBeforeOutputsWereInPlace() throws Exception {
        assertThat(build()).isZero();
        write(SOURCE, "second A");
        write(Path.of("archive-fails"), "");
        assertThat(build()).isNotZero();
        assertThat(program()).contains("first A");
        Files.delete(tree.resolve("archive-fails"));

        assertThat(build()).isZero();

        assertThat(program()).contains("second A").doesNotContain("first A");
    }

    // The earlier sources are checked out again after a failed build of later ones.
    @Test
    void shouldBuildAgainWhenSourcesAreThoseBeforeFailedBuild() throws Exception {
        assertThat(build()).isZero();
        write(SOURCE, "second A");
        write(Path.of("maven-fails"), "");
        assertThat(build()).isNotZero();
        Files.delete(tree.resolve("maven-fails"));
        write(SOURCE, "first A");

        assertThat(build()).isZero();

        assertThat(buildCount()).isEqualTo(3);
        assertThat(program()).contains("first A");
    }

    // One of the outputs was deleted by hand.
    @Test
    void shouldBuildAgainWhenOutputIsMissing() throws Exception {
        assertThat(build()).isZero();
        Files.delete(tree.resolve("target/carobstage.jsa"));

        assertThat(build()).isZero();

        assertThat(tree.resolve("target/carobstage.jsa")).isNotEmptyFile();
    }

    // A checkout that only touches files takes a minute.
    @Test
    void shouldNotBuildWhenSourcesAreTheSame() throws Exception {
        assertThat(build()).isZero();
        write(SOURCE, "first A");
        setAge(SOURCE, 3_600);

        assertThat(build()).isZero();

        assertThat(buildCount()).isOne();
    }

    private int build() throws IOException, InterruptedException {
        ProcessBuilder builder =
                new ProcessBuilder(tree.resolve("bin/build").toString())
                        .redirectErrorStream(true)
                        .redirectOutput(tree.resolve("build.log").toFile());
        String path = builder.environment().get("PATH");
        builder.environment().put("PATH", tree.resolve("tools") + ":" + path);
        return builder.start().waitFor();
    }

    private String program() throws IOException {
        return Files.readString(tree.resolve("target/carobstage.jar"));
    }

    private int buildCount() throws IOException {
        return Files.readAllLines(tree.resolve("builds")).size();
    }

    private void write(Path file, String text) throws IOException {
        Path path = tree.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text + "\n");
    }

    private void writeProgram(Path file, String text) throws IOException {
        write(file, text);
        assertThat(tree.resolve(file).toFile().setExecutable(true)).isTrue();
    }

    private void setAge(Path file, long seconds) throws IOException {
        Instant time = Instant.now().plusSeconds(seconds);
        Files.setLastModifiedTime(tree.resolve(file), FileTime.from(time));
    }
}
