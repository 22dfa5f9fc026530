package org.ragwortrun.router.internal.evidence;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Map that evicts the least recently used entry above a maximum size. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxSize;

    public BoundedMap(int maxSize) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxSize = maxSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.@Nullable Entry<K, V> eldest) {
        return size() > maxSize;
    }
}
