package org.ragwortrun.replication;

import java.nio.file.Path;
import org.ragwortrun.core.error.RagwortrunException;

/** Thrown when stored state is damaged. The member cannot rejoin until the folder of the group is cleared. */
public final class CorruptLogException extends RagwortrunException {
    private static final long serialVersionUID = 1L;

    public CorruptLogException(Path file, long offset, String problem) {
        super(file.getFileName() + " at offset " + offset + ": " + problem);
    }

    @Override
    public String type() {
        return "corrupt-log";
    }
}
