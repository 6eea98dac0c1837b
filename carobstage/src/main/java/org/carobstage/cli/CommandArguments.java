package org.carobstage.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;
import org.carobstage.model.Address;

/**
 * Accesses files and parses addresses from the command line; errors map to {@link ExitCode#USAGE}.
 */
final class CommandArguments {
    private CommandArguments() {}

    static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't read " + file, e);
        }
    }

    static void writeFile(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, "can't write " + file, e);
        }
    }

    static Address parseAddress(String text) {
        try {
            return Address.parse(text.trim());
        } catch (IllegalArgumentException e) {
            throw CodedException.of(ErrorCode.BAD_SETTINGS, e.getMessage(), e);
        }
    }
}
