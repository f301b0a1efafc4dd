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
    SimulatedNetwork network = new SimulatedNetwork(24, 2, 1);
    network.runUntil(15_000);
    assertThat(network.deciders.values()).allMatch(d -> d.memberCount() == 24);
    network.deciders.remove("m3");
    network.runUntil(network.now + 15_000);
    assertThat(network.deciders.values()).allMatch(d -> d.memberCount() == 23);
    assertThat(network.falseDeaths).isZero();
  }

  @Test
  void keepsMembersOfUnreachableRegionAndRecoversAfterPartition() {
    SimulatedNetwork network = new SimulatedNetwork(16, 2, 2);
    network.runUntil(15_000);
    network.partitioned = true;
    network.runUntil(network.now + 120_000);
    assertThat(network.deciders.get("m0").unreachableRegions()).containsExactly("r1");
    assertThat(network.deciders.get("m1").unreachableRegions()).containsExactly("r0");
    network.partitioned = false;
    network.runUntil(network.now + 60_000);
    assertThat(network.deciders.values()).allMatch(d -> d.memberCount() == 16);
    assertThat(network.deciders.values()).allMatch(d -> d.unreachableRegions().isEmpty());
  }

  @Test
  void spreadsNewRulesVersionFromOneMemberToAll() {
    SimulatedNetwork network = new SimulatedNetwork(24, 2, 3);
    network.runUntil(15_000);
    network.deciders.get("m5").setRulesVersion(7);
    network.versions.put("m5", 7L);
    network.runUntil(network.now + 5_000);
    assertThat(network.versions).hasSize(24).allSatisfy((id, v) -> assertThat(v).isEqualTo(7L));
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
  private static void checkConvergence(long seed, long settleMillis) {
    SimulatedNetwork network = new SimulatedNetwork(10, 2, seed);
    Random random = new Random(seed);
    network.lossShare = 0.2;
    for (int step = 0; step < 12; step++) {
      network.runUntil(network.now + random.nextInt(6_000));
      String id = "m" + random.nextInt(10);
      switch (random.nextInt(3)) {
        case 0 -> network.deciders.remove(id);
        case 1 -> network.start(id, step + 2);
        default -> network.partitioned = !network.partitioned;
      }
    }
    network.lossShare = 0;
    network.partitioned = false;
    network.runUntil(network.now + settleMillis);
    int alive = network.deciders.size();
    assertThat(network.deciders.values())
        .as("seed " + seed)
        .allMatch(d -> d.memberCount() == alive);
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
      Member member =
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
      deciders.put(id, new MembershipDecider(member, List.of("m0", "m1", "m2"), random.nextLong()));
      scheduleTick(id, deciders.get(id));
    }

    void runUntil(long end) {
      while (!events.isEmpty() && events.peek().at <= end) {
        Event event = events.poll();
        now = Math.max(now, event.at);
        event.action.run();
      }
      now = end;
    }

    private void scheduleTick(String id, MembershipDecider decider) {
      schedule(
          now + 90 + random.nextInt(20),
          () -> {
            if (deciders.get(id) == decider) {
              execute(decider, decider.tick(now));
              scheduleTick(id, decider);
            }
          });
    }

    private void execute(MembershipDecider from, List<MembershipEffect> effects) {
      for (MembershipEffect effect : effects) {
        if (effect instanceof MembershipEffect.SendDatagram datagram) {
          send(from, datagram.address(), datagram.message());
        } else if (effect instanceof MembershipEffect.RequestMembers request
            && canReach(from, request.address())) {
          MembershipDecider to = deciders.get(request.address());
          schedule(
              now + 5,
              () -> {
                execute(to, to.onMembersRequest(now, from.self()));
                execute(from, from.mergeSnapshot(now, new ArrayList<>(to.snapshot())));
              });
        } else if (effect instanceof MembershipEffect.MemberChanged change
            && change.health() == Health.DEAD
            && deciders.containsKey(change.member().id())) {
          falseDeaths++;
        }
      }
    }

    private boolean canReach(MembershipDecider from, String to) {
      MembershipDecider decider = deciders.get(to);
      return decider != null
          && (!partitioned || decider.self().region().equals(from.self().region()));
    }

    private void send(MembershipDecider from, String to, ControlMessage message) {
      if (!canReach(from, to) || random.nextDouble() < lossShare) {
        return;
      }
      MembershipDecider decider = deciders.get(to);
      String address = from.self().address();
      schedule(
          now + 1 + random.nextInt(10),
          () -> {
            if (message instanceof ControlMessage.Ping ping) {
              adoptVersion(decider, ping.rulesVersion());
              execute(decider, decider.onPing(now, address, ping));
            } else if (message instanceof ControlMessage.Ack ack) {
              adoptVersion(decider, ack.rulesVersion());
              execute(decider, decider.onAck(now, ack));
            } else if (message instanceof ControlMessage.PingRequest request) {
              execute(decider, decider.onPingRequest(now, address, request));
            }
          });
    }

    private void adoptVersion(MembershipDecider decider, long version) {
      if (version > versions.getOrDefault(decider.self().id(), 0L)) {
        versions.put(decider.self().id(), version);
        decider.setRulesVersion(version);
      }
    }

    private void schedule(long time, Runnable action) {
      events.add(new Event(time, eventCount++, action));
    }
  }

  private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }
}
