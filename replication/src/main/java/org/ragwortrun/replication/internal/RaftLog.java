package org.ragwortrun.replication.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.ragwortrun.proto.LogEntry;
import org.ragwortrun.proto.MemberSet;

/** Entries of a log in memory, from the one after the base to the last, and the member sets they contain. */
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

    /** Returns the term of an entry from the base to the last. */
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

    /** Appends entries without a gap. The first may replace an entry and all that follow it. */
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

    /** Returns entries from an index to a last one, stopping after a number of bytes but with at least one. */
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

    /** Forgets entries up to an index that a snapshot covers. */
    void compact(long index) {
        if (index <= base) {
            return;
        }
        long term = term(index);
        Long inForce = memberSets.floorKey(index);
        if (inForce != null) {
            memberSets.headMap(inForce, false).clear();
        }
        remove(entries.subList(0, (int) (index - base)));
        base = index;
        baseTerm = term;
    }

    /** Drops everything and continues after a snapshot. */
    void reset(SnapshotMeta snapshot) {
        remove(entries);
        memberSets.clear();
        memberSets.put(snapshot.index(), snapshot.members());
        base = snapshot.index();
        baseTerm = snapshot.term();
    }

    /** Returns the newest member set. It is in force from the moment at which it is appended. */
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

    /** Returns the last index before the run of entries with the term of an index. */
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
