package org.ragwortrun.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.junit.jupiter.api.Test;

final class LogBufferTest {
    private static final int LINES = 20_000;
    private static final String TEXT = "x".repeat(200);

    /** Guards against a daemon that blocks or runs out of memory because nobody reads its log. */
    @Test
    void dropsAndCountsLinesWhenOutputBlocks() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        OutputStream blocked = new OutputStream() {
            @Override
            public void write(int b) {
                written.write(b);
            }

            @Override
            public void write(byte[] bytes, int from, int count) {
                try {
                    released.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                written.write(bytes, from, count);
            }
        };
        long before = LogBuffer.droppedLines();
        LogBuffer buffer = LogBuffer.start(blocked);
        long start = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            buffer.add(i + " " + TEXT + "\n");
        }
        assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(5));
        long dropped = LogBuffer.droppedLines() - before;
        assertThat(dropped).isGreaterThan(LINES / 2);
        released.countDown();
        buffer.close();
        String log = written.toString(StandardCharsets.UTF_8);
        assertThat(log).startsWith("0 " + TEXT + "\n1 ");
        assertThat(log.lines().filter(l -> l.endsWith(TEXT)).count()).isEqualTo(LINES - dropped);
        assertThat(log).contains("event=log-lines-dropped lines=");
    }

    @Test
    void writesOneLineForEachEvent() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        DaemonLoggers loggers = new DaemonLoggers(LogBuffer.start(written), Level.INFO);
        Logger project = loggers.getLogger("org.ragwortrun.router.Router");
        Event.of("started").with("name", "r 1").info(project);
        Event.of("detail").debug(project);
        Logger library = loggers.getLogger("io.netty.Channel");
        library.info("not written");
        library.warn("a \"quoted\"\nmessage", new IllegalStateException("cause"));
        loggers.terminate();
        String[] lines = written.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasLength(2);
        assertThat(lines[0])
                .matches("time=\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z level=INFO logger=Router"
                        + " event=started name=\"r 1\"");
        assertThat(lines[1])
                .contains(
                        "level=WARN logger=Channel event=library-message message=\"a \\\"quoted\\\"\\nmessage\" stack=\"");
        assertThat(lines[1]).contains("IllegalStateException: cause");
    }

    @Test
    void writesTimes() {
        StringBuilder out = new StringBuilder();
        LogTime.append(out, 1_767_225_599_007L);
        assertThat(out.toString()).isEqualTo("2025-12-31T23:59:59.007Z");
    }
}
