package org.ragwortrun.core.concurrent;

import java.util.concurrent.CompletionException;

/** Reads the failures of asynchronous calls. */
public final class Causes {
    private Causes() {}

    /** Returns what a call failed with, without the wrapper that a later stage puts around it. */
    public static Throwable of(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
