package org.cornelchute.policy.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ConfigurationDeciderTest {

  private static String text(long version) {
    return "out d" + version + " # asked: test\n";
  }

  @Property(tries = 200, seed = "21")
  void neverRevertsToOlderVersion(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    ConfigurationDecider decider = new ConfigurationDecider(seed);
    Random random = new Random(seed);
    long previousVersion = 0;
    for (long now = 0; now < 20_000; now += random.nextInt(700)) {
      long version = 1 + random.nextInt(20);
      // Delayed, duplicate and stale responses from store and peers, in any order.
      switch (random.nextInt(4)) {
        case 0 -> decider.onHeadVersion(now, version);
        case 1 -> decider.onPeerVersion(now, version, "peer");
        case 2 -> decider.onRulesText(now, version, text(version), "digest");
        default -> decider.tick(now, 10);
      }
      assertThat(decider.rules().version()).isGreaterThanOrEqualTo(previousVersion);
      previousVersion = decider.rules().version();
    }
  }

  @Test
  void fetchesFromAnnouncingPeerThenFromStore() {
    ConfigurationDecider decider = new ConfigurationDecider(1);
    assertThat(decider.onPeerVersion(0, 3, "peer"))
        .containsExactly(new ConfigurationEffect.FetchFromPeer("peer", 0));
    assertThat(decider.onFetchFailure(10)).containsExactly(new ConfigurationEffect.ReadVersion(3));
    // The fetch is retried if the store does not answer.
    assertThat(decider.tick(5_000, 10)).contains(new ConfigurationEffect.ReadVersion(3));
  }

  @Test
  void limitsPollRateOfLargeFleet() {
    ConfigurationDecider decider = new ConfigurationDecider(1);
    int reads = 0;
    for (long now = 0; now < 600_000; now += 100) {
      List<ConfigurationEffect> effects = decider.tick(now, 10_820);
      reads += effects.contains(new ConfigurationEffect.ReadHead()) ? 1 : 0;
    }
    double fleetReadsPerSecond = reads / 600.0 * 10_820;
    assertThat(fleetReadsPerSecond).isLessThan(400);
  }

  @Test
  void keepsVersionInForceWhenTextIsInvalid() {
    ConfigurationDecider decider = new ConfigurationDecider(1);
    decider.onRulesText(0, 1, text(1), "digest");
    assertThat(decider.onRulesText(1, 2, "nonsense", "digest"))
        .allMatch(e -> e instanceof ConfigurationEffect.Reject);
    assertThat(decider.rules().version()).isEqualTo(1);
  }
}
