package org.ragwortrun.net.control;

import java.util.List;
import org.ragwortrun.proto.ListedEndpoint;

/** The platform's list of endpoints. It lags behind, and reading it may block. */
@FunctionalInterface
public interface EndpointSource {
    /**
     * Reads the whole list. Entries that cannot be read are left out.
     *
     * @throws EndpointSourceException if the list cannot be had now
     */
    List<ListedEndpoint> read() throws EndpointSourceException;
}
