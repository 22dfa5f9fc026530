package org.ragwortrun.ledger.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.ragwortrun.proto.RunState;

/**
 * Register entries of one hour in packed form.
 *
 * <p>An entry takes 88 bytes in a chunk of longs and 8 to 16 bytes in the index (open addressing, at most half full), 96
 * to 104 bytes in total. Names that entries share are stored once per bucket. Answers of requests that may not be
 * repeated take up to 8 KiB each in addition.
 */
final class RegisterBucket {
    private static final int WORDS = 11;
    private static final int CHUNK_RECORDS = 512;
    private static final int MIN_INDEX = 64;
    private static final int BILLED = 1;
    private static final int REPEATABLE = 2;
    private static final int LIVE = 4;

    private final long startMs;
    private final List<long[]> chunks = new ArrayList<>();
    private final Dictionary<Bill.Profile> profiles = new Dictionary<>();
    private final Dictionary<String> incarnations = new Dictionary<>();
    private final Dictionary<List<String>> agents = new Dictionary<>();
    private final SortedMap<IdHash, byte[]> answers = new TreeMap<>();
    private final SortedMap<IdHash, SortedSet<String>> secondRuns = new TreeMap<>();
    // Each slot contains a record number + 1, or 0 if it is free.
    private int[] index = new int[MIN_INDEX];
    private long answerBytes;
    private int records;
    private int live;

    RegisterBucket(long startMs) {
        this.startMs = startMs;
    }

    long startMs() {
        return startMs;
    }

    int size() {
        return live;
    }

    boolean contains(IdHash id) {
        return find(id) >= 0;
    }

    @Nullable
    RegisterEntry get(IdHash id) {
        int record = find(id);
        return record < 0 ? null : unpack(record);
    }

    void put(IdHash id, RegisterEntry entry) {
        int record = find(id);
        if (record < 0) {
            record = append(id);
        }
        pack(record, entry);
    }

    /** Removes an entry. Its record stays unused for the lifetime of the bucket. */
    void remove(IdHash id) {
        int record = find(id);
        if (record >= 0) {
            chunk(record)[wordIndex(record, 7)] &= ~(long) LIVE;
            live--;
            byte[] answer = answers.remove(id);
            answerBytes -= answer == null ? 0 : answer.length;
        }
    }

    byte @Nullable [] answer(IdHash id) {
        return answers.get(id);
    }

    void keepAnswer(IdHash id, byte[] answer) {
        byte[] before = answers.put(id, answer);
        answerBytes += answer.length - (before == null ? 0 : before.length);
    }

    long answerBytes() {
        return answerBytes;
    }

    /** Drops all answers. The entries keep the information that the requests ran. */
    void dropAnswers() {
        answers.clear();
        answerBytes = 0;
    }

    /** Records a grant under which a billed request ran again, and returns whether it is new. */
    boolean addSecondRun(IdHash id, String grantId) {
        return secondRuns.computeIfAbsent(id, i -> new TreeSet<>()).add(grantId);
    }

    private int find(IdHash id) {
        for (int slot = slot(id.low(), index.length); index[slot] != 0; slot = (slot + 1) & (index.length - 1)) {
            int record = index[slot] - 1;
            long[] c = chunk(record);
            boolean same = c[wordIndex(record, 0)] == id.high() && c[wordIndex(record, 1)] == id.low();
            if (same && (c[wordIndex(record, 7)] & LIVE) != 0) {
                return record;
            }
        }
        return -1;
    }

    private int append(IdHash id) {
        int record = records++;
        if (record / CHUNK_RECORDS == chunks.size()) {
            chunks.add(new long[CHUNK_RECORDS * WORDS]);
        }
        long[] c = chunk(record);
        c[wordIndex(record, 0)] = id.high();
        c[wordIndex(record, 1)] = id.low();
        live++;
        if (records * 2 > index.length) {
            index = new int[index.length * 2];
            for (int r = 0; r < records; r++) {
                addToIndex(r);
            }
        } else {
            addToIndex(record);
        }
        return record;
    }

    private void addToIndex(int record) {
        int slot = slot(chunk(record)[wordIndex(record, 1)], index.length);
        while (index[slot] != 0) {
            slot = (slot + 1) & (index.length - 1);
        }
        index[slot] = record + 1;
    }

    private static int slot(long hash, int length) {
        return (int) hash & (length - 1);
    }

    private long[] chunk(int record) {
        return chunks.get(record / CHUNK_RECORDS);
    }

    private static int wordIndex(int record, int word) {
        return record % CHUNK_RECORDS * WORDS + word;
    }

    private void pack(int record, RegisterEntry e) {
        long[] c = chunk(record);
        Bill bill = e.bill();
        Attempt a = e.attempt();
        c[wordIndex(record, 2)] = e.digest().high();
        c[wordIndex(record, 3)] = e.digest().low();
        c[wordIndex(record, 4)] = bill == null ? 0 : bill.tokens();
        c[wordIndex(record, 5)] = bill == null ? 0 : pair(bill.promptTokens(), bill.outputTokens());
        c[wordIndex(record, 6)] = pair(offset(e.claimedMs()), bill == null ? 0 : offset(bill.atMs()));
        int profile = profiles.number(bill == null ? Bill.Profile.NONE : bill.profile());
        int flags = LIVE | (bill == null ? 0 : BILLED) | (e.repeatable() ? REPEATABLE : 0);
        int number = Math.min(a.number(), 0xFFFF);
        c[wordIndex(record, 7)] = pair(profile, number << 16 | e.state().getNumber() << 8 | flags);
        c[wordIndex(record, 9)] = bill == null ? 0 : incarnations.number(bill.incarnation());
        c[wordIndex(record, 10)] = bill == null ? 0 : bill.grant();
        c[wordIndex(record, 8)] =
                pair(incarnations.number(a.incarnation()), agents.number(List.of(a.agent(), a.agentIncarnation())));
    }

    private RegisterEntry unpack(int record) {
        long[] c = chunk(record);
        int flags = (int) c[wordIndex(record, 7)];
        List<String> agent = agents.value((int) c[wordIndex(record, 8)]);
        Attempt attempt = new Attempt(
                flags >>> 16, incarnations.value(left(c[wordIndex(record, 8)])), agent.get(0), agent.get(1));
        Bill bill = (flags & BILLED) == 0
                ? null
                : new Bill(
                        c[wordIndex(record, 4)],
                        left(c[wordIndex(record, 5)]),
                        (int) c[wordIndex(record, 5)],
                        profiles.value(left(c[wordIndex(record, 7)])),
                        incarnations.value((int) c[wordIndex(record, 9)]),
                        c[wordIndex(record, 10)],
                        startMs + (int) c[wordIndex(record, 6)]);
        RunState state = RunState.forNumber(flags >>> 8 & 0xFF);
        return new RegisterEntry(
                new RegisterEntry.Digest(c[wordIndex(record, 2)], c[wordIndex(record, 3)]),
                (flags & REPEATABLE) != 0,
                state == null ? RunState.RUN_UNKNOWN : state,
                attempt,
                startMs + left(c[wordIndex(record, 6)]),
                bill);
    }

    private int offset(long ms) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, ms - startMs));
    }

    private static long pair(int left, int right) {
        return (long) left << 32 | right & 0xFFFF_FFFFL;
    }

    private static int left(long pair) {
        return (int) (pair >>> 32);
    }

    void write(SnapshotWriter out) throws IOException {
        out.number(startMs);
        profiles.write(out, p -> {
            out.text(p.service());
            out.text(p.endpoint());
            out.text(p.version());
            out.text(p.route());
            out.number(p.status());
        });
        incarnations.write(out, out::text);
        agents.write(out, a -> {
            out.text(a.get(0));
            out.text(a.get(1));
        });
        out.number(live);
        for (int r = 0; r < records; r++) {
            long[] c = chunk(r);
            if ((c[wordIndex(r, 7)] & LIVE) != 0) {
                for (int w = 0; w < WORDS; w++) {
                    out.number(c[wordIndex(r, w)]);
                }
            }
        }
        out.all(answers.entrySet(), e -> {
            out.number(e.getKey().high());
            out.number(e.getKey().low());
            out.bytes(e.getValue());
        });
        out.all(secondRuns.entrySet(), e -> {
            out.number(e.getKey().high());
            out.number(e.getKey().low());
            out.all(e.getValue(), out::text);
        });
    }

    static RegisterBucket read(SnapshotReader in) throws IOException {
        RegisterBucket b = new RegisterBucket(in.number());
        in.all(() ->
                b.profiles.number(new Bill.Profile(in.text(), in.text(), in.text(), in.text(), (int) in.number())));
        in.all(() -> b.incarnations.number(in.text()));
        in.all(() -> b.agents.number(List.of(in.text(), in.text())));
        long size = in.number();
        long[] words = new long[WORDS];
        for (long i = 0; i < size; i++) {
            for (int w = 0; w < WORDS; w++) {
                words[w] = in.number();
            }
            int record = b.append(new IdHash(words[0], words[1]));
            System.arraycopy(words, 0, b.chunk(record), wordIndex(record, 0), WORDS);
        }
        in.all(() -> b.keepAnswer(new IdHash(in.number(), in.number()), in.bytes()));
        in.all(() -> {
            IdHash id = new IdHash(in.number(), in.number());
            in.all(() -> b.addSecondRun(id, in.text()));
        });
        return b;
    }
}
