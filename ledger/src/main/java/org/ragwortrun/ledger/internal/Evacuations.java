package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.EvacuationOrder;

/**
 * The latest evacuation order of each data center.
 *
 * <p>Names are not checked against a list of data centers, so the number of entries is bounded: a new entry replaces the
 * evacuation that ended first, and no evacuation begins while all entries are active.
 */
public final class Evacuations {
    /** Many times the number of data centers of the largest fleet. */
    public static final int MAX_ENTRIES = 256;

    private final SortedMap<String, Evacuation> byDataCenter = new TreeMap<>();

    /** Returns whether an order changes the state. Ending an evacuation that never began changes nothing. */
    public boolean changes(EvacuationOrder order) {
        Evacuation known = byDataCenter.get(order.getDataCenter());
        return (known != null && known.getActive()) != order.getBegin();
    }

    /** Returns whether there is room for an order that changes the state. */
    public boolean hasRoomFor(EvacuationOrder order) {
        return byDataCenter.containsKey(order.getDataCenter())
                || byDataCenter.size() < MAX_ENTRIES
                || oldestEnded().isPresent();
    }

    /**
     * Records an order that changes the state and for which there is room.
     *
     * @param number configuration number with which it takes effect
     */
    public void record(EvacuationOrder order, long number, long nowMs) {
        if (!byDataCenter.containsKey(order.getDataCenter()) && byDataCenter.size() >= MAX_ENTRIES) {
            oldestEnded().ifPresent(e -> byDataCenter.remove(e.getDataCenter()));
        }
        byDataCenter.put(
                order.getDataCenter(),
                Evacuation.newBuilder()
                        .setDataCenter(order.getDataCenter())
                        .setActive(order.getBegin())
                        .setNumber(number)
                        .setChangedMs(nowMs)
                        .build());
    }

    /** Returns the configuration number with which the latest order of a data center took effect. */
    public OptionalLong number(String dataCenter) {
        Evacuation known = byDataCenter.get(dataCenter);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known.getNumber());
    }

    private Optional<Evacuation> oldestEnded() {
        return byDataCenter.values().stream()
                .filter(e -> !e.getActive())
                .min(Comparator.comparingLong(Evacuation::getNumber));
    }

    /** Returns all entries, ordered by data center. */
    public List<Evacuation> all() {
        return List.copyOf(byDataCenter.values());
    }

    public void write(SnapshotWriter out) throws IOException {
        out.all(byDataCenter.values(), out::message);
    }

    public static Evacuations read(SnapshotReader in) throws IOException {
        Evacuations all = new Evacuations();
        in.all(() -> {
            Evacuation e = in.message(Evacuation.parser());
            all.byDataCenter.put(e.getDataCenter(), e);
        });
        return all;
    }
}
