package org.cornelchute.policy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.junit.jupiter.api.Test;

class MembershipDeciderTest {

  @Test
  void detectsCrashedMemberWithoutFalseDeaths() {
    SimulatedNetwork n = new SimulatedNetwork(24, 2, 1);
    n.runUntil(15_000);
    assertThat(n.deciders.values()).allMatch(d -> d.memberCount() == 24);
    n.deciders.remove("m3");
    n.runUntil(n.now + 15_000);
    assertThat(n.deciders.values()).allMatch(d -> d.memberCount() == 23);
    assertThat(n.falseDeaths).isZero();
  }

  @Test
  void keepsMembersOfUnreachableRegionAndRecoversAfterPartition() {
    SimulatedNetwork n = new SimulatedNetwork(16, 2, 2);
    n.runUntil(15_000);
    n.partitioned = true;
    n.runUntil(n.now + 120_000);
    assertThat(n.deciders.get("m0").unreachableRegions()).containsExactly("r1");
    assertThat(n.deciders.get("m1").unreachableRegions()).containsExactly("r0");
    n.partitioned = false;
    n.runUntil(n.now + 60_000);
    assertThat(n.deciders.values()).allMatch(d -> d.memberCount() == 16);
    assertThat(n.deciders.values()).allMatch(d -> d.unreachableRegions().isEmpty());
  }

  @Test
  void spreadsNewRulesVersionFromOneMemberToAll() {
    SimulatedNetwork n = new SimulatedNetwork(24, 2, 3);
    n.runUntil(15_000);
    n.deciders.get("m5").setRulesVersion(7);
    n.versions.put("m5", 7L);
    n.runUntil(n.now + 5_000);
    assertThat(n.versions).hasSize(24).allSatisfy((id, v) -> assertThat(v).isEqualTo(7L));
  }

  @Property(tries = 15, seed = "77")
  void viewsConvergeAfterNetworkRecovers(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    checkConvergence(seed, 90_000);
  }

  @Property(tries = 40, seed = "991")
  void viewsConvergeWhenRegionHasLostMostMembers(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    checkConvergence(seed, MembershipDecider.UNREACHABLE_REGION_TIMEOUT_MILLIS + 90_000);
  }

  /** Disturbs a network, lets it heal, and compares the views after some time. */
  private static void checkConvergence(long seed, long millis) {
    SimulatedNetwork n = new SimulatedNetwork(10, 2, seed);
    Random random = new Random(seed);
    n.lossShare = 0.2;
    for (int step = 0; step < 12; step++) {
      n.runUntil(n.now + random.nextInt(6_000));
      String id = "m" + random.nextInt(10);
      switch (random.nextInt(3)) {
        case 0 -> n.deciders.remove(id);
        case 1 -> n.start(id, step + 2);
        default -> n.partitioned = !n.partitioned;
      }
    }
    n.lossShare = 0;
    n.partitioned = false;
    n.runUntil(n.now + millis);
    int alive = n.deciders.size();
    assertThat(n.deciders.values()).as("seed " + seed).allMatch(d -> d.memberCount() == alive);
  }

  /** Members joined by datagrams in virtual time. */
  private static final class SimulatedNetwork {
    final Map<String, MembershipDecider> deciders = new TreeMap<>();
    final Map<String, Long> versions = new TreeMap<>();
    final Random random;
    final int regions;
    boolean partitioned;
    double lossShare;
    int falseDeaths;
    long now;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long eventCount;

    SimulatedNetwork(int count, int regions, long seed) {
      this.random = new Random(seed);
      this.regions = regions;
      for (int i = 0; i < count; i++) {
        start("m" + i, 1);
      }
    }

    void start(String id, long boot) {
      int number = Integer.parseInt(id.substring(1));
      Member m =
          new Member(
              id,
              Role.AGENT,
              id,
              "r" + number % regions,
              "d",
              "",
              boot,
              1,
              false,
              Generation.NONE,
              "");
      deciders.put(id, new MembershipDecider(m, List.of("m0", "m1", "m2"), random.nextLong()));
      scheduleTick(id, deciders.get(id));
    }

    void runUntil(long millis) {
      while (!events.isEmpty() && events.peek().at <= millis) {
        Event e = events.poll();
        now = Math.max(now, e.at);
        e.action.run();
      }
      now = millis;
    }

    private void scheduleTick(String id, MembershipDecider d) {
      schedule(
          now + 90 + random.nextInt(20),
          () -> {
            if (deciders.get(id) == d) {
              execute(d, d.tick(now));
              scheduleTick(id, d);
            }
          });
    }

    private void execute(MembershipDecider from, List<MembershipEffect> effects) {
      for (MembershipEffect e : effects) {
        if (e instanceof MembershipEffect.SendDatagram g) {
          send(from, g.address(), g.message());
        } else if (e instanceof MembershipEffect.RequestMembers a && canReach(from, a.address())) {
          MembershipDecider to = deciders.get(a.address());
          schedule(
              now + 5,
              () -> {
                execute(to, to.onMembersRequest(now, from.self()));
                execute(from, from.mergeSnapshot(now, new ArrayList<>(to.snapshot())));
              });
        } else if (e instanceof MembershipEffect.MemberChanged c
            && c.health() == Health.DEAD
            && deciders.containsKey(c.member().id())) {
          falseDeaths++;
        }
      }
    }

    private boolean canReach(MembershipDecider from, String to) {
      MembershipDecider d = deciders.get(to);
      return d != null && (!partitioned || d.self().region().equals(from.self().region()));
    }

    private void send(MembershipDecider from, String to, ControlMessage m) {
      if (!canReach(from, to) || random.nextDouble() < lossShare) {
        return;
      }
      MembershipDecider d = deciders.get(to);
      String address = from.self().address();
      schedule(
          now + 1 + random.nextInt(10),
          () -> {
            if (m instanceof ControlMessage.Ping p) {
              adoptVersion(d, p.rulesVersion());
              execute(d, d.onPing(now, address, p));
            } else if (m instanceof ControlMessage.Ack a) {
              adoptVersion(d, a.rulesVersion());
              execute(d, d.onAck(now, a));
            } else if (m instanceof ControlMessage.PingRequest p) {
              execute(d, d.onPingRequest(now, address, p));
            }
          });
    }

    private void adoptVersion(MembershipDecider d, long version) {
      if (version > versions.getOrDefault(d.self().id(), 0L)) {
        versions.put(d.self().id(), version);
        d.setRulesVersion(version);
      }
    }

    private void schedule(long when, Runnable action) {
      events.add(new Event(when, eventCount++, action));
    }
  }

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(sequence, o.sequence);
    }
  }
}
