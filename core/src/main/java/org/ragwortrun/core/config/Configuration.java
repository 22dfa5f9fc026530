package org.ragwortrun.core.config;

import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ragwortrun.proto.Evacuation;
import org.ragwortrun.proto.MoveProgress;
import org.ragwortrun.proto.MoveState;
import org.ragwortrun.proto.OrderedMove;
import org.ragwortrun.proto.Section;
import org.ragwortrun.proto.VersionDecision;

/** An accepted configuration with the state of its moves and evacuations. Immutable. */
public final class Configuration {
    private static final int WHOLE_PERMILLE = 1000;
    // 5 %, half of the 10 % exposure to a bad version that an operator's order permits.
    private static final int TRIAL_PERMILLE = 50;

    private final long number;
    private final Map<String, Account> accounts;
    private final Map<String, Account> accountsByKey;
    private final Map<String, Budget> budgets;
    private final Map<String, Service> services;
    private final Map<String, Service> servicesByModel;
    private final Map<String, Route> routes;
    private final Map<String, Endpoint> endpoints;
    private final Map<String, Move> moves;
    private final Map<String, MoveProgress> progress;
    private final Map<String, VersionDecision> decisions;
    private final Map<String, Origin> origins;
    private final ForwardTable forwards;
    private final CallerLimits limits;
    private final Map<String, List<OrderedMove>> orderedMoves;
    private final Map<String, Evacuation> evacuations;
    private final Set<String> evacuated;
    private final boolean restrictsRegions;
    private final boolean onlyOrders;

    private Configuration(
            long number,
            Collection<Section> sections,
            Collection<MoveProgress> moveProgress,
            Collection<VersionDecision> versionDecisions,
            Collection<OrderedMove> ordered,
            Collection<Evacuation> ordersToEvacuate)
            throws ConfigurationException {
        this.number = number;
        onlyOrders = sections.isEmpty() && !ordersToEvacuate.isEmpty();
        SectionReader reader = new SectionReader();
        accounts = index(reader.accounts(sections), Account::name);
        accountsByKey = accounts.values().stream()
                .flatMap(a -> a.keyDigests().stream().map(k -> Map.entry(k, a)))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a));
        budgets = index(reader.budgets(sections), b -> budgetKey(b.account(), b.service()));
        services = index(reader.services(sections), Service::name);
        servicesByModel = services.values().stream()
                .filter(s -> !s.model().isEmpty())
                .collect(Collectors.toUnmodifiableMap(Service::model, Function.identity(), (a, b) -> a));
        routes = index(reader.routes(sections), Route::name);
        endpoints = index(reader.endpoints(sections), Endpoint::name);
        moves = index(
                Stream.concat(reader.moves(sections).stream(), ordered.stream().flatMap(Configuration::toMove))
                        .toList(),
                Move::name);
        progress = index(moveProgress, MoveProgress::getMove);
        decisions = index(versionDecisions, d -> versionKey(d.getService(), d.getVersion()));
        origins = index(reader.origins(sections), Origin::name);
        forwards = new ForwardTable(reader.forwards(sections));
        limits = reader.limits(sections).orElse(CallerLimits.DEFAULTS);
        orderedMoves = ordered.stream().collect(Collectors.groupingBy(OrderedMove::getService));
        evacuations = index(ordersToEvacuate, Evacuation::getDataCenter);
        evacuated = ordersToEvacuate.stream()
                .filter(Evacuation::getActive)
                .map(Evacuation::getDataCenter)
                .collect(Collectors.toUnmodifiableSet());
        restrictsRegions = Stream.concat(
                        accounts.values().stream().map(Account::regions),
                        forwards.all().stream().map(Forward::regions))
                .anyMatch(r -> !r.isEmpty());
        reader.throwIfErrors();
    }

    /**
     * Builds a configuration from checked sections.
     *
     * @throws ConfigurationException if a value cannot be read; names every such value
     */
    public static Configuration of(
            long number,
            Collection<Section> sections,
            Collection<MoveProgress> moves,
            Collection<VersionDecision> decisions)
            throws ConfigurationException {
        return new Configuration(number, sections, moves, decisions, List.of(), List.of());
    }

    /**
     * Builds a configuration with the moves that operators have ordered.
     *
     * @throws ConfigurationException if a value cannot be read; names every such value
     */
    public static Configuration of(
            long number,
            Collection<Section> sections,
            Collection<MoveProgress> moves,
            Collection<VersionDecision> decisions,
            Collection<OrderedMove> ordered)
            throws ConfigurationException {
        return new Configuration(number, sections, moves, decisions, ordered, List.of());
    }

    /**
     * Builds a configuration with the moves and evacuations that operators have ordered.
     *
     * @throws ConfigurationException if a value cannot be read; names every such value
     */
    public static Configuration of(
            long number,
            Collection<Section> sections,
            Collection<MoveProgress> moves,
            Collection<VersionDecision> decisions,
            Collection<OrderedMove> ordered,
            Collection<Evacuation> evacuations)
            throws ConfigurationException {
        return new Configuration(number, sections, moves, decisions, ordered, evacuations);
    }

    /**
     * Returns whether it consists of orders to evacuate without any section, as before the first publication. Such a
     * configuration has a number, but says nothing about routes and accounts.
     */
    public boolean hasOnlyOrders() {
        return onlyOrders;
    }

    /** Returns whether endpoints of a data center must not get requests, because operators evacuate it. */
    public boolean isEvacuated(String dataCenter) {
        return evacuated.contains(dataCenter);
    }

    /** Returns the latest evacuation order of each data center that has had one. */
    public Collection<Evacuation> evacuations() {
        return evacuations.values();
    }

    /** Returns whether a forward or an account restricts the regions of its requests. */
    public boolean restrictsRegions() {
        return restrictsRegions;
    }

    public Optional<Account> account(String name) {
        return Optional.ofNullable(accounts.get(name));
    }

    public Optional<Origin> origin(String name) {
        return Optional.ofNullable(origins.get(name));
    }

    public Collection<Origin> origins() {
        return origins.values();
    }

    /** Returns the routes to origins by host and path. */
    public ForwardTable forwards() {
        return forwards;
    }

    /** Returns whether callers of forwards must identify a client account. */
    public boolean hasAccounts() {
        return !accounts.isEmpty();
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the moves that operators have ordered for an origin, oldest first. */
    public List<OrderedMove> orderedMoves(String origin) {
        return orderedMoves.getOrDefault(origin, List.of());
    }

    public long number() {
        return number;
    }

    public Optional<Account> accountByKey(String keyDigest) {
        return Optional.ofNullable(accountsByKey.get(keyDigest));
    }

    public Collection<Account> accounts() {
        return accounts.values();
    }

    public Collection<Budget> budgets() {
        return budgets.values();
    }

    /** Returns the budget of a client account for one service or, with {@link Budget#ALL_ORIGINS}, for all origins. */
    public Optional<Budget> budget(String account, String service) {
        return Optional.ofNullable(budgets.get(budgetKey(account, service)));
    }

    public Collection<Service> services() {
        return services.values();
    }

    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    public Optional<Service> serviceByModel(String model) {
        return Optional.ofNullable(servicesByModel.get(model));
    }

    public Collection<Route> routes() {
        return routes.values();
    }

    public Optional<Endpoint> endpoint(String name) {
        return Optional.ofNullable(endpoints.get(name));
    }

    public Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    public List<Endpoint> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(e -> e.service().equals(service))
                .toList();
    }

    public Collection<Move> moves() {
        return moves.values();
    }

    public Optional<MoveProgress> progress(String move) {
        return Optional.ofNullable(progress.get(move));
    }

    public Collection<MoveProgress> allProgress() {
        return progress.values();
    }

    public Collection<VersionDecision> decisions() {
        return decisions.values();
    }

    /** Returns whether a stored version decision blocks all traffic to a version. */
    public boolean isBlocked(String service, String version) {
        VersionDecision d = decisions.get(versionKey(service, version));
        return d != null && d.getBlocked();
    }

    /** Returns the share of each version of a service in thousandths. The shares add up to 1000. */
    public Map<String, Integer> versionShares(Service service) {
        Map<String, Integer> shares = new LinkedHashMap<>();
        Optional<Move> move = moves.values().stream()
                .filter(m -> m.service().equals(service.name()))
                .filter(m -> progress.containsKey(m.name()))
                .findFirst();
        if (move.isEmpty()) {
            shares.put(service.version(), WHOLE_PERMILLE);
            return shares;
        }
        Move m = move.get();
        MoveProgress p = progress.get(m.name());
        boolean rolledBack = p != null && p.getState() == MoveState.MOVE_TAKEN_BACK;
        int share = rolledBack || isBlocked(service.name(), m.to()) || p == null ? 0 : p.getSharePermille();
        if (share < WHOLE_PERMILLE) {
            shares.put(m.from(), WHOLE_PERMILLE - share);
        }
        if (share > 0) {
            shares.put(m.to(), share);
        }
        return shares;
    }

    /**
     * Returns the versions of an origin that may receive requests, with the share of each in thousandths. Empty if no
     * version is known; then all endpoints may be used.
     */
    public Map<String, Integer> originShares(String origin) {
        List<OrderedMove> ordered = orderedMoves.getOrDefault(origin, List.of());
        Map<String, Integer> shares = new LinkedHashMap<>();
        ordered.stream()
                .filter(m -> m.getTarget().isEmpty())
                .findFirst()
                .ifPresent(b -> shares.put(b.getFrom(), WHOLE_PERMILLE));
        for (Move m : moves.values()) {
            MoveProgress p = progress.getOrDefault(m.name(), MoveProgress.getDefaultInstance());
            boolean running = p.getState() != MoveState.MOVE_TAKEN_BACK && p.getSharePermille() > 0;
            if (m.service().equals(origin) && running && !isBlocked(origin, m.to())) {
                int share = p.getSharePermille();
                shares.replaceAll((version, old) -> old * (WHOLE_PERMILLE - share) / WHOLE_PERMILLE);
                shares.merge(m.to(), share, Integer::sum);
            }
        }
        return shares;
    }

    /** Converts an ordered move to a configured one. The stream is empty if the order has no target version. */
    private static Stream<Move> toMove(OrderedMove m) {
        if (m.getTarget().isEmpty()) {
            return Stream.empty();
        }
        Instant start = Instant.ofEpochMilli(m.getStartedMs());
        return Stream.of(new Move(
                '@' + m.getService() + '/' + m.getTarget(),
                m.getService(),
                m.getFrom(),
                m.getTarget(),
                WHOLE_PERMILLE,
                TRIAL_PERMILLE,
                start,
                start.plusMillis(m.getDurationMs())));
    }

    public static String budgetKey(String account, String service) {
        return account + "/" + service;
    }

    private static String versionKey(String service, String version) {
        return service + "/" + version;
    }

    private static <T> Map<String, T> index(Collection<T> items, Function<T, String> key) {
        Map<String, T> map = new LinkedHashMap<>();
        items.forEach(i -> map.put(key.apply(i), i));
        return Collections.unmodifiableMap(map);
    }
}
