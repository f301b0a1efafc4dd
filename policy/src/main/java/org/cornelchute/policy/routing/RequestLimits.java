package org.cornelchute.policy.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cornelchute.policy.rules.Rule;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.util.TokenBucket;

/** Rate limits of workspaces and retry budgets of targets, as one entry applies them. */
final class RequestLimits {

  private static final int RETRY_BURST = 10;
  private static final double RETRIES_PER_SECOND = 1;

  private final double retryShare;
  private final Map<Target, TokenBucket> retries = new HashMap<>();
  private final Map<String, TokenBucket> rates = new HashMap<>();

  RequestLimits(double retryShare) {
    this.retryShare = retryShare;
  }

  /** Forgets the rates, since other limits are in force. */
  void rulesChanged() {
    rates.clear();
  }

  /**
   * Counts a request against its workspace's limit.
   *
   * <p>Each entry grants an equal share of it; the balancer spreads callers evenly.
   *
   * @param entries number of entries alive, this one included
   * @return whether the request is within the limit
   */
  boolean withinRate(long now, Rules rules, String workspace, int entries) {
    Optional<Rule.Limit> limit = rules.findLimit(workspace);
    if (limit.isEmpty()) {
      return true;
    }
    int share = Math.max(1, entries);
    double perSecond = limit.get().perSecond() / share;
    double burst = Math.max(1, limit.get().burst() / share);
    TokenBucket bucket =
        rates.computeIfAbsent(workspace, w -> new TokenBucket(perSecond, burst, now));
    bucket.resize(perSecond, burst);
    return bucket.tryTake(1, now);
  }

  /** Counts a fresh request, which earns its share of a retry. */
  void countFresh(long now, Target target) {
    budget(now, target).add(retryShare);
  }

  /** Returns whether one more retry may reach a target. */
  boolean mayRetry(long now, Target target) {
    return budget(now, target).has(1, now);
  }

  /** Counts a retry that reaches a target. */
  void countRetry(long now, Target target) {
    budget(now, target).tryTake(1, now);
  }

  private TokenBucket budget(long now, Target target) {
    return retries.computeIfAbsent(
        target, t -> new TokenBucket(RETRIES_PER_SECOND, RETRY_BURST, now));
  }
}
