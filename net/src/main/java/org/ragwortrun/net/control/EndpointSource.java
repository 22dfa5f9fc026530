package org.ragwortrun.net.control;

import java.util.List;
import org.ragwortrun.proto.ListedEndpoint;

/** The platform's list of endpoints. It may be outdated, and reading it may block. */
@FunctionalInterface
public interface EndpointSource {
    /**
     * Reads the whole list. Unreadable entries are skipped.
     *
     * @throws EndpointSourceException if the list is not available
     */
    List<ListedEndpoint> read() throws EndpointSourceException;
}
