package org.ragwortrun.router.internal.flow;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ragwortrun.core.config.Account;
import org.ragwortrun.core.config.Configuration;
import org.ragwortrun.core.config.Endpoint;
import org.ragwortrun.core.config.HomeRegions;
import org.ragwortrun.router.internal.request.AdmittedRequest;
import org.ragwortrun.router.internal.request.ChatRequest;
import org.ragwortrun.routing.ChoiceRequest;
import org.ragwortrun.routing.EndpointCandidate;

/** Selects the endpoint of an attempt: first the version, then one of its endpoints. */
final class EndpointSelection {
    private final FlowServices services;
    private final AdmittedRequest request;

    EndpointSelection(FlowServices services, AdmittedRequest request) {
        this.services = services;
        this.request = request;
    }

    /** Selects an endpoint. An answer that has started is continued by the version that started it. */
    Optional<EndpointCandidate> select(boolean started, String version, Set<String> excluded) {
        return started ? selectToContinue(version, excluded) : selectFirst(excluded);
    }

    /** Selects an endpoint of the picked version, or of the main version if the picked one has no endpoint. */
    private Optional<EndpointCandidate> selectFirst(Set<String> excluded) {
        Configuration configuration = configuration();
        return services.versions()
                .pick(configuration, request.service(), request.id())
                .flatMap(v -> choose(configuration, v, excluded))
                .or(() -> services.versions()
                        .mainVersion(configuration, request.service())
                        .flatMap(v -> choose(configuration, v, excluded)));
    }

    /** Selects an endpoint to continue an answer that a version has started. */
    private Optional<EndpointCandidate> selectToContinue(String version, Set<String> excluded) {
        Configuration configuration = configuration();
        return configuration.isBlocked(request.service().name(), version)
                ? Optional.empty()
                : choose(configuration, version, excluded);
    }

    private Optional<EndpointCandidate> choose(Configuration configuration, String version, Set<String> excluded) {
        String service = request.service().name();
        List<EndpointCandidate> untried = candidates(configuration, service, version, excluded);
        List<EndpointCandidate> candidates =
                untried.isEmpty() ? candidates(configuration, service, version, Set.of()) : untried;
        return services.chooser().choose(choice(), candidates);
    }

    private List<EndpointCandidate> candidates(
            Configuration configuration, String service, String version, Set<String> excluded) {
        return services.agents()
                .candidates(configuration, service, version, excluded, e -> isPermitted(configuration, e));
    }

    /** Returns whether a selected endpoint may still get the request, whose claim in the register has taken time. */
    boolean isStillPermitted(EndpointCandidate candidate) {
        Configuration configuration = configuration();
        return configuration
                .endpoint(candidate.name())
                .filter(e -> !isPermitted(configuration, e))
                .isEmpty();
    }

    /** Returns whether an endpoint is outside evacuated data centers and in the regions of the client account. */
    private boolean isPermitted(Configuration configuration, Endpoint endpoint) {
        Set<String> regions = configuration
                .account(request.budget().getAccount())
                .map(Account::regions)
                .orElse(Set.of());
        return !configuration.isEvacuated(endpoint.dataCenter())
                && new HomeRegions(Set.of(), regions)
                        .permit(services.settings().regions().region(endpoint.dataCenter()));
    }

    private ChoiceRequest choice() {
        return new ChoiceRequest(
                request.budget().getAccount(),
                request.route().name(),
                services.settings().dataCenter(),
                request.route().priority(),
                request.chat().map(ChatRequest::promptBound).orElse(0L),
                request.maxOutput(),
                request.chat().map(ChatRequest::prefixHash).orElse(0L));
    }

    private Configuration configuration() {
        return services.configuration().get().orElse(request.configuration());
    }
}
