package org.ragwortrun.replication.internal;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A folder of the file system. */
record DiskDirectory(Path path) implements Directory {

    /** Creates the folder if it does not exist. Its name is durable on return. */
    static DiskDirectory open(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            Files.createDirectories(path);
            sync(path.resolveSibling("."));
        }
        return new DiskDirectory(path);
    }

    @Override
    public RecordFile create(Path file) throws IOException {
        return RecordFile.create(file);
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.delete(file);
    }

    @Override
    public void replace(Path source, Path target) throws IOException {
        Files.move(source, target, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void sync() throws IOException {
        sync(path);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
