package org.ragwortrun.replication.internal;

import java.io.IOException;
import java.nio.file.Path;

/** Changes of the file names of a folder. After a loss of power, each change since the last sync may be lost. */
interface Directory {
    Path path();

    /** Creates an empty file. */
    RecordFile create(Path file) throws IOException;

    void delete(Path file) throws IOException;

    /** Renames a file and replaces the target if it exists. */
    void replace(Path source, Path target) throws IOException;

    /** Makes all changes durable. */
    void sync() throws IOException;
}
