package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reports that are passed on reach all entries of a region, cut off from the others or not. */
class ReportRecipientsTest {

  private static Map<String, String> fleet(int entries, int regions) {
    Map<String, String> regionByName = new HashMap<>();
    for (int i = 0; i < entries; i++) {
      regionByName.put("edge-" + i, "region-" + i % regions);
    }
    return regionByName;
  }

  private static Map<String, List<String>> recipients(Map<String, String> fleet) {
    Map<String, List<String>> recipients = new HashMap<>();
    fleet.forEach(
        (name, region) -> recipients.put(name, ReportRecipients.choose(name, region, fleet)));
    return recipients;
  }

  /**
   * Returns the entries that a report reaches, passed on by all in between.
   *
   * @param links recipients of each entry that its reports get to
   */
  private static Set<String> reached(String from, Map<String, List<String>> links) {
    Set<String> reached = new HashSet<>(Set.of(from));
    Deque<String> pending = new ArrayDeque<>(reached);
    while (!pending.isEmpty()) {
      for (String to : links.get(pending.poll())) {
        if (reached.add(to)) {
          pending.add(to);
        }
      }
    }
    return reached;
  }

  @ParameterizedTest
  @CsvSource({"4, 3", "6, 3", "15, 3", "18, 5", "40, 1", "40, 3", "40, 5", "200, 4", "820, 4"})
  void reachesAllEntriesOfOneRegionAndOfAll(int entries, int regions) {
    Map<String, String> fleet = fleet(entries, regions);
    Map<String, List<String>> links = recipients(fleet);
    Map<String, List<String>> linksWithinRegions = new HashMap<>();
    links.forEach(
        (from, recipients) -> {
          assertThat(recipients)
              .hasSize(Math.min(entries - 1, ReportRecipients.MAX_RECIPIENTS))
              .doesNotContain(from)
              .doesNotHaveDuplicates();
          linksWithinRegions.put(
              from,
              recipients.stream().filter(to -> fleet.get(to).equals(fleet.get(from))).toList());
        });
    for (String from : fleet.keySet()) {
      assertThat(reached(from, links)).hasSize(entries);
      long sameRegion = fleet.values().stream().filter(fleet.get(from)::equals).count();
      assertThat(reached(from, linksWithinRegions)).hasSize((int) sameRegion);
    }
  }

  @Test
  void choosesAmongEntriesOfUnknownRegions() {
    Map<String, String> fleet = new HashMap<>(fleet(12, 2));
    fleet.replaceAll((name, region) -> "");
    fleet.put("edge-0", "region-0");
    List<String> chosen = ReportRecipients.choose("edge-0", "region-0", fleet);
    assertThat(chosen).hasSize(ReportRecipients.MAX_RECIPIENTS);
  }
}
