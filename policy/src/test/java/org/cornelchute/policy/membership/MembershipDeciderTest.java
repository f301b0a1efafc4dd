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

  /**
   * Failure: a process that had been stopped took the time for one in which the probed member did
   * not respond, though the ack was received meanwhile and only waited to be handled.
   */
  @Test
  void suspectsNoMemberForTheTimeThatItStoodStillItself() {
    MembershipDecider decider = deciderThatKnows("b");
    assertThat(decider.tick(0)).anyMatch(e -> e instanceof MembershipEffect.SendDatagram);
    assertThat(healthChanges(tickUntil(decider, 100, 200))).isEmpty();
    assertThat(healthChanges(decider.tick(5_200))).isEmpty();
    decider.onAck(5_201, new ControlMessage.Ack(1, "b", 0, List.of()));
    assertThat(healthChanges(tickUntil(decider, 5_300, 5_900))).isEmpty();
  }

  /**
   * Failure: a process that had been stopped declared a suspected member dead at all others, though
   * the refutation was received meanwhile and only waited to be handled.
   */
  @Test
  void declaresNoMemberDeadForTheTimeThatItStoodStillItself() {
    MembershipDecider decider = deciderThatKnows("b");
    assertThat(healthChanges(tickUntil(decider, 0, 1_200))).containsExactly(Health.SUSPECT);
    assertThat(healthChanges(decider.tick(6_200))).isEmpty();
    Member refuting = member("b").withRevisionAbove(1);
    decider.onAck(
        6_201,
        new ControlMessage.Ack(
            1, "b", 0, List.of(new ControlMessage.MembershipUpdate(refuting, Health.ALIVE))));
    assertThat(decider.findHealth("b")).contains(Health.ALIVE);
  }

  /** Guards against a crashed member that stays because processes are stopped now and then. */
  @Test
  void declaresMemberDeadAfterItHadTimeToRefuteBesideStandstills() {
    MembershipDecider decider = deciderThatKnows("b");
    List<MembershipEffect> effects = new ArrayList<>(tickUntil(decider, 0, 2_000));
    effects.addAll(tickUntil(decider, 7_000, 9_000));
    effects.addAll(tickUntil(decider, 12_000, 15_000));
    assertThat(healthChanges(effects)).containsExactly(Health.SUSPECT, Health.DEAD);
  }

  /** Guards against a slow process, each of whose ticks is late, that never detects a crash. */
  @Test
  void declaresMemberDeadThoughEachTickIsLate() {
    MembershipDecider decider = deciderThatKnows("b");
    List<MembershipEffect> effects = new ArrayList<>();
    for (long now = 0; now <= 60_000; now += 1_000) {
      effects.addAll(decider.tick(now));
    }
    assertThat(healthChanges(effects)).containsExactly(Health.SUSPECT, Health.DEAD);
  }

  /** Guards against a region that stays unreachable after all of its members were evicted. */
  @Test
  void forgetsUnreachableRegionOnceItHasNoMembers() {
    SimulatedNetwork network = new SimulatedNetwork(10, 2, 4);
    network.runUntil(15_000);
    network.deciders.keySet().removeIf(id -> Integer.parseInt(id.substring(1)) % 2 == 1);
    network.runUntil(network.now + 60_000);
    assertThat(network.deciders.get("m0").unreachableRegions()).containsExactly("r1");
    network.runUntil(network.now + MembershipDecider.UNREACHABLE_REGION_TIMEOUT_MILLIS + 60_000);
    assertThat(network.deciders.values()).allMatch(d -> d.memberCount() == 5);
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

  /**
   * A region that has lost most of its members looks unreachable, so its crashed members are
   * removed only after the timeout for unreachable regions.
   */
  @Property(tries = 40, seed = "991")
  void viewsConvergeWhenRegionHasLostMostMembers(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    checkConvergence(seed, MembershipDecider.UNREACHABLE_REGION_TIMEOUT_MILLIS + 90_000);
  }

  private static Member member(String id) {
    return new Member(id, Role.AGENT, id, "r", "d", "", 1, 1, false, Generation.NONE, "");
  }

  private static MembershipDecider deciderThatKnows(String id) {
    MembershipDecider decider = new MembershipDecider(member("a"), List.of(), 1);
    decider.onMembersRequest(0, member(id));
    return decider;
  }

  private static List<MembershipEffect> tickUntil(MembershipDecider decider, long from, long end) {
    List<MembershipEffect> effects = new ArrayList<>();
    for (long now = from; now <= end; now += 100) {
      effects.addAll(decider.tick(now));
    }
    return effects;
  }

  private static List<Health> healthChanges(List<MembershipEffect> effects) {
    return effects.stream()
        .filter(e -> e instanceof MembershipEffect.MemberChanged)
        .map(e -> ((MembershipEffect.MemberChanged) e).health())
        .toList();
  }

  /**
   * Causes random crashes, restarts, partitions and datagram loss. Then ends the partition and the
   * loss, and expects every view to hold exactly the running members after {@code settleMillis}.
   */
  private static void checkConvergence(long seed, long settleMillis) {
    SimulatedNetwork network = new SimulatedNetwork(10, 2, seed);
    Random random = new Random(seed);
    network.lossRate = 0.2;
    for (int step = 0; step < 12; step++) {
      network.runUntil(network.now + random.nextInt(6_000));
      String id = "m" + random.nextInt(10);
      switch (random.nextInt(3)) {
        case 0 -> network.deciders.remove(id);
        case 1 -> network.start(id, step + 2);
        default -> network.partitioned = !network.partitioned;
      }
    }
    network.lossRate = 0;
    network.partitioned = false;
    network.runUntil(network.now + settleMillis);
    int alive = network.deciders.size();
    assertThat(network.deciders.values())
        .as("seed " + seed)
        .allMatch(d -> d.memberCount() == alive);
  }

  /** Simulates members that exchange datagrams and snapshots in virtual time. */
  private static final class SimulatedNetwork {
    final Map<String, MembershipDecider> deciders = new TreeMap<>();
    final Map<String, Long> versions = new TreeMap<>();
    final Random random;
    final int regions;
    boolean partitioned;
    double lossRate;
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

    private void execute(MembershipDecider sender, List<MembershipEffect> effects) {
      for (MembershipEffect effect : effects) {
        if (effect instanceof MembershipEffect.SendDatagram datagram) {
          send(sender, datagram.address(), datagram.message());
        } else if (effect instanceof MembershipEffect.RequestMembers request
            && canReach(sender, request.address())) {
          MembershipDecider receiver = deciders.get(request.address());
          schedule(
              now + 5,
              () -> {
                execute(receiver, receiver.onMembersRequest(now, sender.self()));
                execute(sender, sender.mergeSnapshot(now, new ArrayList<>(receiver.snapshot())));
              });
        } else if (effect instanceof MembershipEffect.MemberChanged change
            && change.health() == Health.DEAD
            && deciders.containsKey(change.member().id())) {
          falseDeaths++;
        }
      }
    }

    private boolean canReach(MembershipDecider sender, String address) {
      MembershipDecider receiver = deciders.get(address);
      return receiver != null
          && (!partitioned || receiver.self().region().equals(sender.self().region()));
    }

    private void send(MembershipDecider sender, String receiverAddress, ControlMessage message) {
      if (!canReach(sender, receiverAddress) || random.nextDouble() < lossRate) {
        return;
      }
      MembershipDecider receiver = deciders.get(receiverAddress);
      String senderAddress = sender.self().address();
      schedule(
          now + 1 + random.nextInt(10),
          () -> {
            if (message instanceof ControlMessage.Ping ping) {
              adoptVersion(receiver, ping.rulesVersion());
              execute(receiver, receiver.onPing(now, senderAddress, ping));
            } else if (message instanceof ControlMessage.Ack ack) {
              adoptVersion(receiver, ack.rulesVersion());
              execute(receiver, receiver.onAck(now, ack));
            } else if (message instanceof ControlMessage.PingRequest request) {
              execute(receiver, receiver.onPingRequest(now, senderAddress, request));
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
