package org.ragwortrun.core.concurrent;

import java.util.concurrent.CompletionException;

/** Unwraps the failures of asynchronous calls. */
public final class Causes {
    private Causes() {}

    /** Returns the failure of a call, without the {@link CompletionException} that a later stage wraps around it. */
    public static Throwable of(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
