package org.ragwortrun.replication;

import java.nio.file.Path;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when the data folder cannot be read or written. */
public final class StorageException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public StorageException(Path folder, Throwable cause) {
        super("folder " + folder.getFileName() + ": " + cause.getMessage(), cause);
    }

    @Override
    public String type() {
        return "storage";
    }
}
