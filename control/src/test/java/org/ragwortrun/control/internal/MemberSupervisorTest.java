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

final class MemberSupervisorTest {
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Runnable> opened = new LinkedBlockingQueue<>();
    private volatile int failures;
    private volatile int unexpectedFailures;
    private volatile int errors;

    /** Guards against a member that never rejoins its groups after its disk was temporarily full. */
    @Test
    void reopensAfterStorageFailure() throws Exception {
        try (MemberSupervisor member = MemberSupervisor.start(this::open)) {
            assertThat(member).isNotNull();
            Runnable onFailure = opened.poll(5, TimeUnit.SECONDS);
            failures = 2;
            onFailure.run();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log)
                .containsExactly("open", "close", "refused", "refused", "open", "close")
                .inOrder();
    }

    /** Guards against a member that is never opened again because one attempt failed in an unexpected way. */
    @Test
    void reopensAfterUnexpectedFailure() throws Exception {
        try (MemberSupervisor member = MemberSupervisor.start(this::open)) {
            assertThat(member).isNotNull();
            Runnable onFailure = opened.poll(5, TimeUnit.SECONDS);
            unexpectedFailures = 1;
            onFailure.run();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log)
                .containsExactly("open", "close", "failed", "open", "close")
                .inOrder();
    }

    /** Guards against a member that is never opened again because the heap was exhausted in one attempt. */
    @Test
    void reopensAfterError() throws Exception {
        try (MemberSupervisor member = MemberSupervisor.start(this::open)) {
            assertThat(member).isNotNull();
            Runnable onFailure = opened.poll(5, TimeUnit.SECONDS);
            errors = 1;
            onFailure.run();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log)
                .containsExactly("open", "close", "error", "open", "close")
                .inOrder();
    }

    /** Guards against a process that exits because its disk is full at startup. */
    @Test
    void startsOnceStorageIsUsable() throws Exception {
        failures = 1;
        try (MemberSupervisor member = MemberSupervisor.start(this::open)) {
            assertThat(member).isNotNull();
            assertThat(opened.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        assertThat(log).containsExactly("refused", "open", "close").inOrder();
    }

    /** Guards against retrying with invalid settings instead of reporting them. */
    @Test
    void doesNotRetryAfterSettingsError() {
        assertThrows(
                SettingsException.class,
                () -> MemberSupervisor.start(onFailure -> {
                    throw new SettingsException("f.ini", List.of("a is required"));
                }));
    }

    private AutoCloseable open(Runnable onFailure) throws StorageException {
        if (failures > 0) {
            failures--;
            log.add("refused");
            throw new StorageException(Path.of("data"), new IOException("No space left on device"));
        }
        if (unexpectedFailures > 0) {
            unexpectedFailures--;
            log.add("failed");
            throw new IllegalStateException("unexpected");
        }
        if (errors > 0) {
            errors--;
            log.add("error");
            throw new OutOfMemoryError("test");
        }
        log.add("open");
        opened.add(onFailure);
        return () -> log.add("close");
    }
}
