package org.ragwortrun.replication.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/** Directory whose process ends after a number of steps, and which may then lose changes that were not synced. */
final class InterruptibleDirectory implements Directory {
    private final Directory disk;
    private final Path removed;
    private final List<Change> unsynced = new ArrayList<>();
    private int remainingSteps;
    private int copies;

    /** Restores the names as they were before a change. */
    private interface Change {
        void undo() throws IOException;
    }

    /** Thrown in place of the step at which the process ends. */
    static final class Interrupted extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * Creates a directory.
     *
     * @param removed folder for copies of files whose removal may be lost
     * @param steps number of steps before the process ends
     */
    InterruptibleDirectory(Directory disk, Path removed, int steps) {
        this.disk = disk;
        this.removed = removed;
        remainingSteps = steps;
    }

    @Override
    public Path path() {
        return disk.path();
    }

    @Override
    public RecordFile create(Path file) throws IOException {
        step();
        RecordFile created = disk.create(file);
        unsynced.add(() -> Files.deleteIfExists(file));
        return created;
    }

    @Override
    public void delete(Path file) throws IOException {
        step();
        Path copy = copy(file);
        disk.delete(file);
        unsynced.add(() -> Files.copy(copy, file, StandardCopyOption.REPLACE_EXISTING));
    }

    @Override
    public void replace(Path source, Path target) throws IOException {
        step();
        Path before = Files.exists(target) ? copy(target) : null;
        disk.replace(source, target);
        unsynced.add(() -> {
            if (before == null) {
                Files.deleteIfExists(target);
            } else {
                Files.copy(before, target, StandardCopyOption.REPLACE_EXISTING);
            }
        });
    }

    @Override
    public void sync() throws IOException {
        step();
        disk.sync();
        unsynced.clear();
    }

    /** Returns how many changes were not synced when the process ended. */
    int unsyncedChanges() {
        return unsynced.size();
    }

    /** Loses the changes whose bits are set, as a loss of power may. */
    void lose(int bits) throws IOException {
        for (int i = unsynced.size() - 1; i >= 0; i--) {
            if ((bits >> i & 1) == 1) {
                unsynced.get(i).undo();
            }
        }
    }

    private void step() throws Interrupted {
        if (remainingSteps == 0) {
            throw new Interrupted();
        }
        remainingSteps--;
    }

    private Path copy(Path file) throws IOException {
        copies++;
        return Files.copy(file, removed.resolve("copy-" + copies));
    }
}
