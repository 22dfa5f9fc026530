package org.ragwortrun.control.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.replication.StorageException;

/**
 * Stores the number of shards in the data folder, so that it cannot change after the first start.
 *
 * <p>With a different number, an account would belong to another shard, which would apply its top-ups a second time.
 */
final class ShardCountFile {
    private static final String FILE = "shards";

    private ShardCountFile() {}

    /**
     * Stores the number at the first start, and compares it with the stored one at later starts.
     *
     * @throws SettingsException if the number has changed
     * @throws StorageException if the folder cannot be used
     */
    static void check(Path folder, int shards) throws SettingsException, StorageException {
        Path file = folder.resolve(FILE);
        try {
            Files.createDirectories(folder);
            if (!Files.exists(file)) {
                write(folder, file, Integer.toString(shards));
                return;
            }
            String stored = Files.readString(file).trim();
            if (!stored.equals(Integer.toString(shards))) {
                throw new SettingsException(
                        "settings",
                        List.of("cluster.shards must stay " + stored
                                + ", the number with which the data folder was first used, not " + shards));
            }
        } catch (IOException e) {
            throw new StorageException(folder, e);
        }
    }

    private static void write(Path folder, Path file, String text) throws IOException {
        Path temporary = folder.resolve(FILE + ".new");
        try (FileChannel out = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            out.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
