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
    ConfigurationDecider d = new ConfigurationDecider(seed);
    Random random = new Random(seed);
    long before = 0;
    for (long now = 0; now < 20_000; now += random.nextInt(700)) {
      long version = 1 + random.nextInt(20);
      // Late, repeated and stale answers from store and peers in any order.
      switch (random.nextInt(4)) {
        case 0 -> d.onHeadVersion(now, version);
        case 1 -> d.onPeerVersion(now, version, "peer");
        case 2 -> d.onRulesText(now, version, text(version), "digest");
        default -> d.tick(now, 10);
      }
      assertThat(d.rules().version()).isGreaterThanOrEqualTo(before);
      before = d.rules().version();
    }
  }

  @Test
  void fetchesFromAnnouncingPeerThenFromStore() {
    ConfigurationDecider d = new ConfigurationDecider(1);
    assertThat(d.onPeerVersion(0, 3, "peer"))
        .containsExactly(new ConfigurationEffect.FetchFromPeer("peer", 0));
    assertThat(d.onFetchFailure(10)).containsExactly(new ConfigurationEffect.ReadVersion(3));
    // No answer at all: the fetch is repeated.
    assertThat(d.tick(5_000, 10)).contains(new ConfigurationEffect.ReadVersion(3));
  }

  @Test
  void limitsPollRateOfLargeFleet() {
    ConfigurationDecider d = new ConfigurationDecider(1);
    int reads = 0;
    for (long now = 0; now < 600_000; now += 100) {
      List<ConfigurationEffect> effects = d.tick(now, 10_820);
      reads += effects.contains(new ConfigurationEffect.ReadHead()) ? 1 : 0;
    }
    double fleetReadsPerSecond = reads / 600.0 * 10_820;
    assertThat(fleetReadsPerSecond).isLessThan(400);
  }

  @Test
  void keepsVersionInForceWhenTextIsInvalid() {
    ConfigurationDecider d = new ConfigurationDecider(1);
    d.onRulesText(0, 1, text(1), "digest");
    assertThat(d.onRulesText(1, 2, "nonsense", "digest"))
        .allMatch(e -> e instanceof ConfigurationEffect.Reject);
    assertThat(d.rules().version()).isEqualTo(1);
  }
}
