package org.ragwortrun.replication.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.MemberSet;

/** In-memory log entries after the base index, and the member sets they contain. */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, MemberSet> memberSets = new TreeMap<>();
    private long base;
    private long baseTerm;
    private long bytes;

    RaftLog(SnapshotMeta snapshot, List<LogEntry> tail) {
        reset(snapshot);
        append(tail);
    }

    long base() {
        return base;
    }

    long baseTerm() {
        return baseTerm;
    }

    long lastIndex() {
        return base + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** Returns the term of the entry at an index between the base and the last index, inclusive. */
    long term(long index) {
        return index == base ? baseTerm : get(index).getTerm();
    }

    /** Returns the size of the entries in memory. */
    long bytes() {
        return bytes;
    }

    boolean containsEntry(long index, long term) {
        return index >= base && index <= lastIndex() && term(index) == term;
    }

    LogEntry get(long index) {
        return entries.get((int) (index - base - 1));
    }

    /** Appends entries without a gap. The first one may replace an existing entry and all that follow it. */
    void append(List<LogEntry> added) {
        for (LogEntry e : added) {
            if (e.getIndex() <= lastIndex()) {
                truncate(e.getIndex());
            }
            entries.add(e);
            bytes += e.getSerializedSize();
            if (e.hasMembers()) {
                memberSets.put(e.getIndex(), e.getMembers());
            }
        }
    }

    /** Returns entries of an inclusive index range, limited to a number of bytes but including at least one entry. */
    List<LogEntry> slice(long from, long to, int maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long bytes = 0;
        for (long i = from; i <= Math.min(to, lastIndex()) && bytes < maxBytes; i++) {
            LogEntry e = get(i);
            bytes += e.getSerializedSize();
            if (!slice.isEmpty() && bytes > maxBytes) {
                break;
            }
            slice.add(e);
        }
        return slice;
    }

    /** Returns the size of the entries in memory after one index up to another, inclusive. */
    long bytes(long after, long upTo) {
        return LongStream.rangeClosed(Math.max(after, base) + 1, Math.min(upTo, lastIndex()))
                .map(i -> get(i).getSerializedSize())
                .sum();
    }

    /** Returns the lowest index after which the entries up to an index have at most the given number and size. */
    long lowestIndexWithin(long index, int maxEntries, long maxBytes) {
        long lowest = index;
        long size = 0;
        while (lowest > base && index - lowest < maxEntries) {
            size += get(lowest).getSerializedSize();
            if (size > maxBytes) {
                break;
            }
            lowest--;
        }
        return lowest;
    }

    /** Discards entries up to an index that a snapshot covers. */
    void compact(long index) {
        if (index <= base) {
            return;
        }
        long term = term(index);
        Long effective = memberSets.floorKey(index);
        if (effective != null) {
            memberSets.headMap(effective, false).clear();
        }
        remove(entries.subList(0, (int) (index - base)));
        base = index;
        baseTerm = term;
    }

    /** Discards all entries and continues after a snapshot. */
    void reset(SnapshotMeta snapshot) {
        remove(entries);
        memberSets.clear();
        memberSets.put(snapshot.index(), snapshot.members());
        base = snapshot.index();
        baseTerm = snapshot.term();
    }

    /** Returns the newest member set. A member set takes effect as soon as it is appended. */
    MemberSet members() {
        return memberSets.lastEntry().getValue();
    }

    long membersIndex() {
        return memberSets.lastKey();
    }

    MemberSet membersAt(long index) {
        var floor = memberSets.floorEntry(index);
        return floor == null ? MemberSet.getDefaultInstance() : floor.getValue();
    }

    /** Returns the last index before the consecutive entries that have the same term as the entry at an index. */
    long beforeTermOf(long index) {
        long term = term(index);
        long i = index;
        while (i > base && term(i) == term) {
            i--;
        }
        return i;
    }

    private void truncate(long from) {
        remove(entries.subList((int) (from - base - 1), entries.size()));
        memberSets.tailMap(from, true).clear();
    }

    private void remove(List<LogEntry> range) {
        bytes -= range.stream().mapToLong(LogEntry::getSerializedSize).sum();
        range.clear();
    }
}
