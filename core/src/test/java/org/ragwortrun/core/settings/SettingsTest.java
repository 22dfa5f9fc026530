package org.ragwortrun.core.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsTest {
    @TempDir
    Path folder;

    /** Guards against a misspelled key that is ignored, so that the default applies. */
    @Test
    void reportsEveryProblem() throws IOException, SettingsException {
        Path file = Files.writeString(folder.resolve("s.ini"), "[http]\nport = many\nprot = 1\n[dedupe]\na.b = 1\n");
        Settings s = Settings.read(file);
        s.number("http.port", 80, 0, 65_535);
        s.text("name");
        s.text("dedupe.a.b", "");
        SettingsException e = assertThrows(SettingsException.class, s::check);
        assertThat(e.problems())
                .containsExactly(
                        "http.port must be a whole number from 0 to 65535, not many",
                        "name is required",
                        "http.prot is not a known key");
    }
}
