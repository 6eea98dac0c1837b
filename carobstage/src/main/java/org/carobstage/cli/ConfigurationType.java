package org.carobstage.cli;

import java.util.function.BiFunction;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.GroupReader;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.ErrorCode;

/** The kinds of texts that the platform's key-value service holds for operators. */
enum ConfigurationType {
    /** A team's document. */
    DOCUMENT(ConfigurationWatch.DOCUMENTS, ConfigurationType::documentName),
    /** A database group. */
    GROUP(ConfigurationWatch.GROUPS, ConfigurationType::groupName);

    private final String prefix;
    private final BiFunction<String, String, String> nameOf;

    ConfigurationType(String prefix, BiFunction<String, String, String> nameOf) {
        this.prefix = prefix;
        this.nameOf = nameOf;
    }

    /** Returns the key of a text by its name. */
    String key(String name) {
        return prefix + name;
    }

    /** Checks a text from a file and returns its key. */
    String validatedKey(String source, String text) {
        return key(nameOf.apply(source, text));
    }

    private static String documentName(String source, String text) {
        return DocumentReader.validate(source, text)
                .orThrow(ErrorCode.BAD_DOCUMENT)
                .service()
                .value();
    }

    private static String groupName(String source, String text) {
        return GroupReader.read(text).id().value();
    }
}
