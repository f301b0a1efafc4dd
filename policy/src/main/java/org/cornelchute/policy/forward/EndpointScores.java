package org.cornelchute.policy.forward;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.cornelchute.policy.forward.EndpointPool.Requirements;
import org.cornelchute.policy.load.EndpointLoad;
import org.cornelchute.policy.load.EndpointSpeeds;
import org.cornelchute.policy.load.PrefixCaches;
import org.cornelchute.policy.load.PrefixSaving;
import org.cornelchute.policy.load.PromptPrefix;
import org.cornelchute.policy.util.RendezvousHash;

/** Compares endpoints that can accept a call, by load, speed, place and what their caches hold. */
final class EndpointScores {

  /**
   * Load in calls that is added to endpoints outside the failure domain of this entry when
   * endpoints are compared, so that near endpoints are preferred.
   */
  private static final double CROSS_DOMAIN_PENALTY = 4.0;

  /**
   * Maximum load in calls that is added to an endpoint, by a hash of this entry and the endpoint.
   * Entries that see the same load would otherwise all choose the same endpoint until the reports
   * of each other's calls arrive.
   */
  private static final double MAX_PREFERENCE_PENALTY = 2.0;

  /** Bits of a hash code that a double holds exactly. */
  private static final int HASH_BITS = 53;

  private final String self;
  private final String domain;
  private final EndpointSpeeds speeds = new EndpointSpeeds();
  private final PrefixCaches prefixCaches = new PrefixCaches();

  /** Creates scores for an entry in a failure domain. */
  EndpointScores(String self, String domain) {
    this.self = self;
    this.domain = domain;
  }

  EndpointSpeeds speeds() {
    return speeds;
  }

  PrefixCaches prefixCaches() {
    return prefixCaches;
  }

  /** Returns the state of an incarnation that is listed for the first time. */
  Endpoint newEndpoint(EndpointSpec spec) {
    return new Endpoint(spec, speeds.of(Endpoint.incarnationOf(spec)), preferencePenalty(spec));
  }

  private double preferencePenalty(EndpointSpec spec) {
    long hash = RendezvousHash.weight(self, spec.id()) >>> (Long.SIZE - HASH_BITS);
    return MAX_PREFERENCE_PENALTY * hash / (1L << HASH_BITS) / Math.max(1, spec.slots());
  }

  /** Forgets all endpoints that are in neither collection. */
  void retain(Collection<Endpoint> listed, Collection<Endpoint> removed) {
    Set<Integer> incarnations = new HashSet<>();
    listed.forEach(e -> incarnations.add(e.incarnation()));
    removed.forEach(e -> incarnations.add(e.incarnation()));
    speeds.retain(incarnations);
    prefixCaches.retain(incarnations);
  }

  /** Records whether the engine of an endpoint caches prompt prefixes. */
  void setCachesPrefixes(Endpoint endpoint, boolean cachesPrefixes) {
    if (cachesPrefixes) {
      endpoint.prefixCache = prefixCaches.of(endpoint.incarnation());
    } else if (endpoint.prefixCache != null) {
      prefixCaches.drop(endpoint.incarnation());
      endpoint.prefixCache = null;
    }
  }

  /** Records the load that an endpoint states in a response to this entry. */
  void recordLoad(long now, Endpoint endpoint, EndpointLoad load) {
    if (load.isStated()) {
      endpoint.recordLoad(now, load.running(), load.queued());
      speeds.recordResponse(now, endpoint.incarnation(), load);
    }
  }

  /** Records that an endpoint has begun the response to a call. */
  void recordBegin(long now, Endpoint endpoint, ServiceSpec service, CallSpec call) {
    if (endpoint.prefixCache == null || service.engine().isEmpty()) {
      return;
    }
    PromptPrefix prefix = PromptPrefix.of(call.sharedParts(), call.sharedTokens());
    endpoint.prefixCache.record(
        now, endpoint.version, prefix, service.engine().get().kvCacheTokens());
  }

  /** Returns what a call may save; nothing is computed if no engine caches prefixes. */
  PrefixSaving savingOf(Requirements requirements) {
    if (prefixCaches.engineCount() == 0 || requirements.service().engine().isEmpty()) {
      return PrefixSaving.NONE;
    }
    CallSpec call = requirements.call();
    EngineSpec engine = requirements.service().engine().get();
    return new PrefixSaving(
        PromptPrefix.of(call.sharedParts(), call.sharedTokens()),
        engine.promptTokensPerMilli(),
        engine.firstEventMillis(call.promptTokens()));
  }

  /**
   * Returns the score of an endpoint in load per slot, the lowest is the best: what the call adds
   * to the work of the endpoint and waits for, less the share of its own work that it saves. At
   * normal speed and with nothing saved, it is the load per slot with the penalties of another
   * domain and of the preference of this entry.
   *
   * @param load calls that run or are queued at the endpoint
   * @param spread whether the preference of this entry counts
   */
  double score(long now, Endpoint endpoint, double load, PrefixSaving saving, boolean spread) {
    double slowdown = endpoint.speed.slowdown(now);
    double work = load * slowdown + (slowdown - 1);
    return work / endpoint.spec.slots()
        + domainPenalty(endpoint)
        + (spread ? endpoint.preferencePenalty : 0)
        - saving.share(now, endpoint.prefixCache, endpoint.version);
  }

  private double domainPenalty(Endpoint endpoint) {
    double penalty = endpoint.spec.domain().equals(domain) ? 0 : CROSS_DOMAIN_PENALTY;
    return penalty / Math.max(1, endpoint.spec.slots());
  }
}
