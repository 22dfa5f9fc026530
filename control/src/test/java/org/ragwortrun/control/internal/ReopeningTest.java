package org.ragwortrun.control.internal;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortrun.core.settings.SettingsException;
import org.ragwortrun.replication.StorageException;

final class ReopeningTest {
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Runnable> opened = new LinkedBlockingQueue<>();
    private volatile int failures;

    /** Guards against a member that stays out of its groups for good because its disk was full for a while. */
    @Test
    void opensAgainAfterTheFilesHaveFailed() throws Exception {
        try (Reopening member = Reopening.start(this::open)) {
            assertThat(member).isNotNull();
            Runnable failed = opened.poll(5, TimeUnit.SECONDS);
            failures = 2;
            failed.run();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log)
                .containsExactly("open", "close", "refused", "refused", "open", "close")
                .inOrder();
    }

    /** Guards against a process that ends when it starts while its disk is full. */
    @Test
    void startsOnceTheDiskCanBeUsed() throws Exception {
        failures = 1;
        try (Reopening member = Reopening.start(this::open)) {
            assertThat(member).isNotNull();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log).containsExactly("refused", "open", "close").inOrder();
    }

    /** Guards against wrong settings that are tried for ever instead of being reported. */
    @Test
    void failsForGoodWhereNoDiskIsToBlame() {
        assertThrows(
                SettingsException.class,
                () -> Reopening.start(failed -> {
                    throw new SettingsException("f.ini", List.of("a is required"));
                }));
    }

    private AutoCloseable open(Runnable failed) throws StorageException {
        if (failures > 0) {
            failures--;
            log.add("refused");
            throw new StorageException(Path.of("data"), new IOException("No space left on device"));
        }
        log.add("open");
        opened.add(failed);
        return () -> log.add("close");
    }
}
