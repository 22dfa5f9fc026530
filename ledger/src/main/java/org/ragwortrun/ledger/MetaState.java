package org.ragwortrun.ledger;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragwortrun.core.config.Locations;
import org.ragwortrun.core.config.SectionKind;
import org.ragwortrun.ledger.internal.CrashCounts;
import org.ragwortrun.ledger.internal.Evacuations;
import org.ragwortrun.ledger.internal.OrderedMoves;
import org.ragwortrun.ledger.internal.PublishReplyCache;
import org.ragwortrun.ledger.internal.SectionStore;
import org.ragwortrun.ledger.internal.SnapshotReader;
import org.ragwortrun.ledger.internal.SnapshotWriter;
import org.ragwortrun.ledger.internal.VersionedMap;
import org.ragwortrun.proto.ConfigError;
import org.ragwortrun.proto.ConfigReply;
import org.ragwortrun.proto.ConfigUpdate;
import org.ragwortrun.proto.CrashReport;
import org.ragwortrun.proto.ErrorReply;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.EvacuationOrder;
import org.ragwortrun.proto.EvacuationReply;
import org.ragwortrun.proto.MetaCommand;
import org.ragwortrun.proto.MetaResult;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.Publish;
import org.ragwortrun.proto.PublishReply;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.SetBaseline;
import org.ragwortrun.proto.StartMove;
import org.ragwortrun.proto.StartMoveReply;
import org.ragwortrun.proto.VersionDecision;

/**
 * State machine of the meta group. It holds the accepted configuration and its number, version decisions, move
 * progress, crash counts, fencing numbers and evacuations.
 *
 * <p>Each change that daemons must receive increments the configuration number. A publication is accepted if no other
 * publication has been accepted since the number on which it is based. Version decisions and move progress do not cause
 * a conflict.
 */
public final class MetaState {
    private static final long FORMAT = 3;
    // Snapshots of members that did not know evacuations.
    private static final long FORMAT_WITHOUT_EVACUATIONS = 2;

    private final ConfigurationRules rules;
    private SectionStore sections = new SectionStore();
    private VersionedMap<MoveProgress> moves = new VersionedMap<>();
    private VersionedMap<VersionDecision> decisions = new VersionedMap<>();
    private CrashCounts crashCounts = new CrashCounts();
    private PublishReplyCache publishReplies = new PublishReplyCache();
    private SortedMap<String, Long> fencingNumbers = new TreeMap<>();
    private long number;
    private long publishedNumber;
    private long appliedIndex;
    private long generation;
    private ByteString document = ByteString.EMPTY;
    private OrderedMoves orderedMoves = new OrderedMoves();
    private Evacuations evacuations = new Evacuations();

    public MetaState(ConfigurationRules rules) {
        this.rules = rules;
    }

    /** Applies the log entry with this index, a {@link MetaCommand}, and returns an encoded {@link MetaResult}. */
    public synchronized byte[] apply(long index, byte[] command) {
        appliedIndex = index;
        try {
            return apply(MetaCommand.parseFrom(command)).toByteArray();
        } catch (InvalidProtocolBufferException e) {
            return error("malformed-command", String.valueOf(e.getMessage())).toByteArray();
        }
    }

    public synchronized MetaResult apply(MetaCommand command) {
        return switch (command.getOpCase()) {
            case PUBLISH ->
                MetaResult.newBuilder()
                        .setPublish(publish(command.getPublish(), command.getNowMs()))
                        .build();
            case VERSION_DECISION ->
                decidesEndedMove(command) ? numberResult() : recordDecision(command.getVersionDecision());
            case MOVE_PROGRESS ->
                decidesEndedMove(command) ? numberResult() : recordProgress(command.getMoveProgress());
            case CRASH -> crashResult(crashCounts.count(command.getCrash(), number + 1, command.getNowMs()));
            case CRASH_EVIDENCE ->
                crashResult(crashCounts.count(command.getCrashEvidence(), number + 1, command.getNowMs()));
            case NEXT_FENCING ->
                MetaResult.newBuilder()
                        .setFencing(
                                fencingNumbers.merge(command.getNextFencing().getEndpoint(), 1L, Long::sum))
                        .build();
            case START_MOVE -> startMove(command.getStartMove(), command.getNowMs());
            case SET_BASELINE -> setBaseline(command.getSetBaseline());
            case READ_BARRIER -> numberResult();
            case EVACUATION -> evacuate(command.getEvacuation(), command.getNowMs());
            case OP_NOT_SET -> error("malformed-command", "command has no operation");
        };
    }

    private PublishReply publish(Publish publish, long nowMs) {
        if (publish.getGeneration() > 0) {
            return publishGeneration(publish, nowMs);
        }
        if (publish.getPublishId().isEmpty()) {
            return invalid(List.of(ConfigError.newBuilder()
                    .setRule("publish-id-missing")
                    .setExpected("a publish id")
                    .build()));
        }
        Optional<PublishReply> first = publishReplies.find(publish.getPublishId());
        if (first.isPresent()) {
            return first.get().toBuilder().setResent(true).build();
        }
        PublishReply reply = applyPublication(publish, nowMs);
        publishReplies.put(publish.getPublishId(), reply);
        return reply;
    }

    /** Rejects an invalid configuration of any generation. A superseded generation is accepted without effect. */
    private PublishReply publishGeneration(Publish publish, long nowMs) {
        List<ConfigError> errors = rules.check(sections.all(), publish.getSectionsList(), nowMs);
        if (!errors.isEmpty()) {
            return invalid(errors);
        }
        boolean superseded = publish.getGeneration() <= generation;
        if (!superseded) {
            generation = publish.getGeneration();
            document = publish.getDocument();
            replaceSections(publish.getSectionsList());
        }
        return PublishReply.newBuilder()
                .setOutcome(PublishReply.Outcome.ACCEPTED)
                .setNumber(number)
                .setSuperseded(superseded)
                .build();
    }

    private PublishReply applyPublication(Publish publish, long nowMs) {
        if (publish.getBasedOn() < publishedNumber || publish.getBasedOn() > number) {
            return PublishReply.newBuilder()
                    .setOutcome(PublishReply.Outcome.CONFLICT)
                    .setNumber(number)
                    .build();
        }
        List<ConfigError> errors = rules.check(sections.all(), publish.getSectionsList(), nowMs);
        if (!errors.isEmpty()) {
            return invalid(errors);
        }
        replaceSections(publish.getSectionsList());
        return PublishReply.newBuilder()
                .setOutcome(PublishReply.Outcome.ACCEPTED)
                .setNumber(number)
                .build();
    }

    private void replaceSections(List<Section> next) {
        List<Section> before = sections.all();
        number = Math.addExact(number, 1);
        publishedNumber = number;
        sections.replace(next, number);
        // Progress of a move that was removed or changed does not apply to the current move.
        moves.removeIf(p -> !moveProperties(before, p.getMove()).equals(moveProperties(sections.all(), p.getMove())));
    }

    private MetaResult startMove(StartMove order, long nowMs) {
        boolean known = sections.all().stream()
                .anyMatch(s -> s.getKind().equals(SectionKind.ORIGIN.text())
                        && s.getName().equals(order.getService()));
        StartMoveReply.Outcome outcome =
                known ? orderedMoves.start(order, nowMs, this::moveState) : StartMoveReply.Outcome.UNKNOWN_SERVICE;
        if (outcome == StartMoveReply.Outcome.STARTED) {
            number = Math.addExact(number, 1);
            resetProgress(OrderedMoves.name(order.getService(), order.getTarget()));
        }
        return MetaResult.newBuilder()
                .setStartMove(StartMoveReply.newBuilder().setOutcome(outcome))
                .build();
    }

    /**
     * Returns whether the command decides on a move that has already been completed or rolled back. Commands that do not
     * name the move take effect, so that a replay of entries from before the field reaches the state of other members.
     */
    private boolean decidesEndedMove(MetaCommand command) {
        return isMoveFinished(command.getUndecidedMove());
    }

    /** Replaces the progress of a move that starts again, so that daemons do not apply the share it had. */
    private void resetProgress(String move) {
        if (moves.find(move).isPresent()) {
            moves.put(move, MoveProgress.newBuilder().setMove(move).build(), number);
        }
    }

    private boolean isMoveFinished(String move) {
        return OrderedMoves.isEnd(moveState(move));
    }

    private MoveState moveState(String move) {
        return moves.find(move).map(MoveProgress::getState).orElse(MoveState.MOVE_UNSPECIFIED);
    }

    private MetaResult setBaseline(SetBaseline baseline) {
        if (orderedMoves.setBaseline(baseline.getService(), baseline.getVersion())) {
            number = Math.addExact(number, 1);
        }
        return numberResult();
    }

    /** Begins or ends an evacuation. An order that changes nothing is accepted with the number of the earlier one. */
    private MetaResult evacuate(EvacuationOrder order, long nowMs) {
        if (!Locations.isDataCenter(order.getDataCenter())) {
            return error("malformed-data-center", "a data center has 1 to 64 visible characters and no slash");
        }
        if (evacuations.changes(order)) {
            if (!evacuations.hasRoomFor(order)) {
                return error("too-many-evacuations", Evacuations.MAX_ENTRIES + " data centers are evacuated");
            }
            number = Math.addExact(number, 1);
            evacuations.record(order, number, nowMs);
        }
        return MetaResult.newBuilder()
                .setEvacuation(EvacuationReply.newBuilder()
                        .setOutcome(EvacuationReply.Outcome.ACCEPTED)
                        .setNumber(evacuations.number(order.getDataCenter()).orElse(number)))
                .build();
    }

    private static Optional<Map<String, String>> moveProperties(List<Section> all, String move) {
        return all.stream()
                .filter(s -> s.getKind().equals(SectionKind.MOVE.text())
                        && s.getName().equals(move))
                .map(Section::getPropertiesMap)
                .findFirst();
    }

    private PublishReply invalid(List<ConfigError> errors) {
        return PublishReply.newBuilder()
                .setOutcome(PublishReply.Outcome.INVALID)
                .setNumber(number)
                .addAllErrors(errors)
                .build();
    }

    private MetaResult recordDecision(VersionDecision decision) {
        String name = decision.getService() + '/' + decision.getVersion();
        if (decisions.find(name).filter(decision::equals).isEmpty()) {
            number = Math.addExact(number, 1);
            decisions.put(name, decision, number);
        }
        return numberResult();
    }

    private MetaResult recordProgress(MoveProgress progress) {
        if (moveProperties(sections.all(), progress.getMove()).isEmpty()
                && !orderedMoves.contains(progress.getMove())) {
            return error("unknown-move", progress.getMove());
        }
        if (moves.find(progress.getMove()).filter(progress::equals).isEmpty()) {
            number = Math.addExact(number, 1);
            moves.put(progress.getMove(), progress, number);
            if (progress.getState() == MoveState.MOVE_DONE) {
                orderedMoves.complete(progress.getMove());
            }
        }
        return numberResult();
    }

    private MetaResult crashResult(boolean daemonsNeedUpdate) {
        if (daemonsNeedUpdate) {
            number = Math.addExact(number, 1);
        }
        return numberResult();
    }

    private MetaResult numberResult() {
        return MetaResult.newBuilder().setNumber(number).build();
    }

    private static MetaResult error(String type, String detail) {
        return MetaResult.newBuilder()
                .setError(ErrorReply.newBuilder().setType(type).setDetail(detail))
                .build();
    }

    /** Returns the current configuration number. */
    public synchronized long number() {
        return number;
    }

    /** Returns all sections including budgets, for operators and for the top-ups of the shards. */
    public synchronized ConfigReply configuration() {
        return ConfigReply.newBuilder()
                .setNumber(number)
                .addAllSections(sections.all())
                .setGeneration(generation)
                .setDocument(document)
                .addAllOrderedMoves(orderedMoves())
                .addAllEvacuations(evacuations.all())
                .build();
    }

    /** Returns the latest evacuation order of each data center. */
    public synchronized List<Evacuation> evacuations() {
        return evacuations.all();
    }

    /** Returns the ordered moves with their progress. */
    public synchronized List<OrderedMove> orderedMoves() {
        return orderedMoves.all().stream().map(this::withProgress).toList();
    }

    private OrderedMove withProgress(OrderedMove move) {
        return moves.find(OrderedMoves.name(move.getService(), move.getTarget()))
                .map(p -> move.toBuilder()
                        .setState(p.getState())
                        .setSharePermille(p.getSharePermille())
                        .setReason(p.getReason())
                        .build())
                .orElse(move);
    }

    /**
     * Returns the changes since a configuration number, for daemons. If the changes since the base are not known, or the
     * base is 0, the update is the full configuration with base 0. A daemon drops the progress of a move whose section the
     * update changes or removes, unless the update contains new progress.
     */
    public synchronized ConfigUpdate updateFrom(long base) {
        boolean known = base > 0 && base <= number && sections.hasChangesSince(base);
        long from = known ? base : 0;
        ConfigUpdate.Builder update = ConfigUpdate.newBuilder()
                .setNumber(number)
                .setBase(from)
                .setGeneration(generation)
                .addAllChanged(sections.changedAfter(from))
                .addAllMoves(moves.changedAfter(from))
                .addAllDecisions(decisions.changedAfter(from))
                .addAllOrderedMoves(orderedMoves.all())
                .addAllEvacuations(evacuations.all())
                .addAllSuspects(crashCounts.refusedAfter(from));
        if (known) {
            update.addAllRemoved(sections.removedAfter(from));
        }
        return update.build();
    }

    public synchronized List<MoveProgress> moves() {
        return moves.all();
    }

    public synchronized List<VersionDecision> decisions() {
        return decisions.all();
    }

    public synchronized Optional<CrashReport> suspect(byte[] digest) {
        return crashCounts.find(digest);
    }

    /** Returns the index of the last applied log entry. */
    public synchronized long appliedIndex() {
        return appliedIndex;
    }

    /** Writes a snapshot of the state. Equal states produce equal bytes. */
    public synchronized void writeSnapshot(OutputStream stream) throws IOException {
        SnapshotWriter out = new SnapshotWriter(stream);
        out.number(FORMAT);
        out.number(number);
        out.number(publishedNumber);
        out.number(appliedIndex);
        sections.write(out);
        moves.write(out);
        decisions.write(out);
        crashCounts.write(out);
        publishReplies.write(out);
        out.all(fencingNumbers.entrySet(), e -> {
            out.text(e.getKey());
            out.number(e.getValue());
        });
        out.number(generation);
        out.bytes(document.toByteArray());
        orderedMoves.write(out);
        evacuations.write(out);
        out.flush();
    }

    /** Replaces the state with a snapshot. If the snapshot cannot be read, the state is unchanged. */
    public synchronized void readSnapshot(InputStream stream) throws IOException {
        SnapshotReader in = new SnapshotReader(stream);
        long format = in.expectBetween(FORMAT_WITHOUT_EVACUATIONS, FORMAT);
        long readNumber = in.number();
        long readPublished = in.number();
        long readIndex = in.number();
        SectionStore readSections = SectionStore.read(in);
        VersionedMap<MoveProgress> readMoves = VersionedMap.read(in, MoveProgress.parser());
        VersionedMap<VersionDecision> readDecisions = VersionedMap.read(in, VersionDecision.parser());
        CrashCounts readSuspects = CrashCounts.read(in);
        PublishReplyCache readAnswers = PublishReplyCache.read(in);
        SortedMap<String, Long> readFencing = new TreeMap<>();
        in.all(() -> readFencing.put(in.text(), in.number()));
        long readGeneration = in.number();
        ByteString readDocument = ByteString.copyFrom(in.bytes());
        OrderedMoves readOrdered = OrderedMoves.read(in);
        Evacuations readEvacuations = format == FORMAT_WITHOUT_EVACUATIONS ? new Evacuations() : Evacuations.read(in);
        number = readNumber;
        publishedNumber = readPublished;
        appliedIndex = readIndex;
        sections = readSections;
        moves = readMoves;
        decisions = readDecisions;
        crashCounts = readSuspects;
        publishReplies = readAnswers;
        fencingNumbers = readFencing;
        generation = readGeneration;
        document = readDocument;
        orderedMoves = readOrdered;
        evacuations = readEvacuations;
    }
}
