package org.carobstage.settings;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.carobstage.error.CodedException;
import org.carobstage.error.ErrorCode;

/**
 * What was read, or everything that is wrong with it.
 *
 * @param <T> the type of the value
 * @param value the value, empty if there are faults
 * @param faults the faults
 */
public record ValidationResult<T>(Optional<T> value, List<ValidationError> errors) {
    /** Checks the result. */
    public ValidationResult {
        requireNonNull(value, "value is null");
        errors = List.copyOf(errors);
    }

    /**
     * Returns the value.
     *
     * @param code the code of the exception
     * @return the value
     * @throws CodedException if there are faults; its message names them all, one a line
     */
    public T orThrow(ErrorCode code) {
        return value.orElseThrow(() -> CodedException.of(code, lines()));
    }

    private String lines() {
        return errors.stream().map(ValidationError::toString).collect(Collectors.joining("\n"));
    }
}
