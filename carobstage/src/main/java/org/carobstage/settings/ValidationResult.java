package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/**
 * The value read from an INI text, or all errors found in the text.
 *
 * @param <T> the type of the value
 * @param value the value, empty if there are errors
 * @param errors the errors
 */
public record ValidationResult<T>(Optional<T> value, List<ValidationError> errors) {
    /** Rejects null components and copies the collections. */
    public ValidationResult {
        requireNonNull(value, "value is null");
        errors = List.copyOf(errors);
    }

    /**
     * Returns the value, or throws an exception if there are errors.
     *
     * @param code the error code of the exception
     * @return the value
     * @throws CodedException if there are errors; its message lists them all, one per line
     */
    public T orThrow(ErrorCode code) {
        return value.orElseThrow(() -> CodedException.of(code, errorLines()));
    }

    private String errorLines() {
        return errors.stream().map(ValidationError::toString).collect(Collectors.joining("\n"));
    }
}
