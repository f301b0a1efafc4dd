package org.cornelchute.standin.bench;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.cornelchute.policy.weights.Digests;

/** Creates the rules of the benchmarks. */
final class FleetRules {

  static final String MODEL = "andina/modelo-cornel";

  private FleetRules() {}

  /** Returns the name of a workspace, which the benchmarks also use as its API key. */
  static String workspaceName(int number) {
    return "andina/ws-" + number;
  }

  /** Returns rules that place a version and define the keys and weights of workspaces. */
  static String placementRules(
      String version, Map<String, Integer> replicas, int unavailable, List<Integer> weights) {
    StringBuilder rules = new StringBuilder("place " + MODEL + " " + version + " on");
    replicas.forEach((domain, count) -> rules.append(' ').append(domain).append('=').append(count));
    rules.append(" unavailable=").append(unavailable).append(" # asked: bench\n");
    for (int i = 0; i < weights.size(); i++) {
      String keyDigest = Digests.sha256(workspaceName(i).getBytes(StandardCharsets.UTF_8));
      rules
          .append("key ")
          .append(workspaceName(i))
          .append(' ')
          .append(keyDigest)
          .append(" # asked: bench\n");
      rules.append("weight ").append(workspaceName(i)).append(' ').append(weights.get(i));
      rules.append(" # asked: bench\n");
    }
    rules.append("norepeat pedidos POST /confirm # asked: billing\n");
    return rules.toString();
  }
}
