package org.ragwortrun.core.config;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.ragwortrun.proto.Section;

/** The operators' INI files of a folder and its subfolders. */
public final class OperatorFiles {
    private static final String SUFFIX = ".ini";

    private final List<SourceSection> sections;
    private final List<ConfigurationError> errors;

    private OperatorFiles(List<SourceSection> sections, List<ConfigurationError> errors) {
        this.sections = List.copyOf(sections);
        this.errors = List.copyOf(errors);
    }

    /** Reads every {@code *.ini} file below the folder. Unreadable files and lines are reported by {@link #errors}. */
    public static OperatorFiles read(Path folder) {
        List<SourceSection> sections = new ArrayList<>();
        List<ConfigurationError> errors = new ArrayList<>();
        List<Path> files = list(folder, errors);
        for (Path file : files) {
            String name = folder.relativize(file).toString();
            try {
                OperatorFileParser parser = new OperatorFileParser(name, Files.readString(file));
                sections.addAll(parser.sections());
                errors.addAll(parser.errors());
            } catch (CharacterCodingException e) {
                errors.add(new ConfigurationError(name, 1, "", "", "readable-file", "text in UTF-8"));
            } catch (IOException e) {
                errors.add(new ConfigurationError(
                        name, 1, "", "", "readable-file", "a file that can be read (" + e.getMessage() + ")"));
            }
        }
        if (files.isEmpty() && errors.isEmpty()) {
            errors.add(new ConfigurationError(folder.toString(), 1, "", "", "no-files", "at least one *.ini file"));
        }
        return new OperatorFiles(sections, errors);
    }

    /** Returns the sections ordered by file name and line. */
    public List<SourceSection> sources() {
        return sections;
    }

    /** Returns the sections as they are published. */
    public List<Section> sections() {
        return sections.stream().map(SourceSection::section).toList();
    }

    /** Returns the errors found while reading the files. */
    public List<ConfigurationError> errors() {
        return errors;
    }

    private static List<Path> list(Path folder, List<ConfigurationError> errors) {
        try (Stream<Path> paths = Files.walk(folder)) {
            return paths.filter(p -> p.toString().endsWith(SUFFIX) && Files.isRegularFile(p))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            errors.add(new ConfigurationError(
                    folder.toString(), 1, "", "", "readable-folder", "a folder that can be read"));
            return List.of();
        }
    }
}
