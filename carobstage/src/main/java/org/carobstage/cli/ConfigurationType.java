package org.carobstage.cli;

import java.util.function.BiFunction;
import org.carobstage.config.ConfigurationWatch;
import org.carobstage.config.GroupReader;
import org.carobstage.document.DocumentReader;
import org.carobstage.error.ErrorCode;

/** The types of configuration texts that operators store in the platform's key-value service. */
enum ConfigurationType {
    /** A team's document. */
    DOCUMENT(ConfigurationWatch.DOCUMENT_PREFIX, ConfigurationType::documentName),
    /** A database group. */
    GROUP(ConfigurationWatch.GROUP_PREFIX, ConfigurationType::groupName);

    private final String prefix;
    private final BiFunction<String, String, String> nameParser;

    ConfigurationType(String prefix, BiFunction<String, String, String> nameParser) {
        this.prefix = prefix;
        this.nameParser = nameParser;
    }

    /** Returns the key of the text with the given name. */
    String key(String name) {
        return prefix + name;
    }

    /** Validates a text and returns the key to store it under. */
    String validatedKey(String source, String text) {
        return key(nameParser.apply(source, text));
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
