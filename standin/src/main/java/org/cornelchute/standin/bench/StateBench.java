package org.cornelchute.standin.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cornelchute.core.message.ControlMessage;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.ControlMessage.MembershipUpdate;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Load;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.policy.membership.MembershipDecider;
import org.cornelchute.policy.membership.MembershipEffect;
import org.cornelchute.policy.placement.Placement;
import org.cornelchute.policy.routing.RequestDecider;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.RoutingOptions;
import org.cornelchute.policy.routing.Target;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/** Measures the deciders of one daemon with a large number of members, inside this process. */
final class StateBench implements Bench {

  private static final int REGION_COUNT = 4;
  private static final int DOMAIN_COUNT = 13;
  private static final int MEASURED_SECONDS = 120;
  private static final int REQUEST_COUNT = 2_000;

  /**
   * Member changes at the target size: 190 members fail and 950 restart per day, and each of them
   * causes two changes.
   */
  private static final double MEMBER_CHANGES_PER_SECOND = 2 * (190 + 950) / 86_400.0;

  private final MessageCodec codec = new MessageCodec();
  private final Map<String, String> idByAddress = new HashMap<>();

  @Override
  public String name() {
    return "state";
  }

  @Override
  public String summary() {
    return "heap, CPU time and bytes of one daemon's deciders with --daemons members";
  }

  @Override
  public Report run(BenchOptions options) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < options.daemons(); i++) {
      members.add(createMember(i, 1));
      idByAddress.put(members.get(i).address(), members.get(i).id());
    }
    Report report = new Report();
    report.add("members", options.daemons());
    measureMembership(members, report);
    measurePlacement(members, report);
    measureRouting(members, report);
    return report;
  }

  private void measureMembership(List<Member> members, Report report) {
    final long heapBefore = usedHeap();
    MembershipDecider decider = new MembershipDecider(createMember(-1, 1), List.of(), 1);
    List<MembershipUpdate> updates = new ArrayList<>();
    members.forEach(m -> updates.add(new MembershipUpdate(m, Health.ALIVE)));
    report.add("joinBytes", codec.encode(new ControlMessage.Members(updates)).length);
    decider.mergeSnapshot(0, updates);
    // The first minutes are not measured, because gossip still spreads the initial members.
    simulate(decider, members, 0, 2 * MEASURED_SECONDS, new long[2]);
    report.add("membershipHeapMegabytes", (usedHeap() - heapBefore) / 1e6);
    long[] bytes = new long[2];
    final long cpuBefore = cpuNanos();
    simulate(decider, members, 2 * MEASURED_SECONDS, MEASURED_SECONDS, bytes);
    report.add("membershipCorePercent", (cpuNanos() - cpuBefore) / 1e7 / MEASURED_SECONDS);
    report.add("bytesSentPerSecond", (double) bytes[0] / MEASURED_SECONDS);
    report.add("bytesReceivedPerSecond", (double) bytes[1] / MEASURED_SECONDS);
  }

  /**
   * Ticks ten times per simulated second. Every probed member acknowledges, and one member per
   * second sends a probe.
   *
   * @param bytes accumulates the bytes sent at index 0 and the bytes received at index 1
   */
  private void simulate(
      MembershipDecider decider, List<Member> members, int fromSeconds, int seconds, long[] bytes) {
    Random random = new Random(3);
    double dueChanges = 0;
    for (long now = fromSeconds * 1_000L; now < (fromSeconds + seconds) * 1_000L; now += 100) {
      for (MembershipEffect effect : decider.tick(now)) {
        if (effect instanceof MembershipEffect.SendDatagram datagram) {
          bytes[0] += codec.encode(datagram.message()).length;
          if (datagram.message() instanceof ControlMessage.Ping ping) {
            ControlMessage.Ack ack =
                new ControlMessage.Ack(
                    ping.sequence(), idByAddress.get(datagram.address()), 1, ping.updates());
            bytes[1] += codec.encode(ack).length;
            decider.onAck(now, ack);
          }
        }
      }
      dueChanges += MEMBER_CHANGES_PER_SECOND / 10;
      List<MembershipUpdate> updates = new ArrayList<>();
      final boolean viewChanged = dueChanges >= 1;
      for (; dueChanges >= 1; dueChanges--) {
        int index = random.nextInt(members.size());
        members.set(index, createMember(index, now + 2));
        updates.add(new MembershipUpdate(members.get(index), Health.ALIVE));
      }
      if (now % 1_000 == 0) {
        Member sender = members.get(random.nextInt(members.size()));
        ControlMessage.Ping ping = new ControlMessage.Ping(now, sender.id(), 1, updates);
        bytes[1] += codec.encode(ping).length;
        for (MembershipEffect effect : decider.onPing(now, sender.address(), ping)) {
          if (effect instanceof MembershipEffect.SendDatagram datagram) {
            bytes[0] += codec.encode(datagram.message()).length;
          }
        }
        updates.clear();
      } else if (!updates.isEmpty()) {
        decider.mergeSnapshot(now, updates);
      }
      // The control duty copies the member list and snapshot after changes and every 5 s.
      if (viewChanged || now % 5_000 == 0) {
        decider.members();
        decider.snapshot();
      }
    }
  }

  private static void measurePlacement(List<Member> members, Report report) {
    StringBuilder text = new StringBuilder("place m v1 on");
    for (int i = 0; i < DOMAIN_COUNT; i++) {
      text.append(" d").append(i).append("=30");
    }
    Rules rules = RulesParser.parse(1, text + " # asked: bench\n").get();
    for (int i = 0; i < 20; i++) {
      Placement.compute(rules, members);
    }
    final long cpuBefore = cpuNanos();
    for (int i = 0; i < 20; i++) {
      Placement.compute(rules, members);
    }
    report.add("placementMillis", (cpuNanos() - cpuBefore) / 1e6 / 20);
  }

  private static void measureRouting(List<Member> members, Report report) {
    final long heapBefore = usedHeap();
    RequestDecider decider = new RequestDecider("entry", "r0", RoutingOptions.DEFAULTS, 1);
    decider.updateRules(0, RulesParser.parse(1, "weight a 10 # asked: bench\n").get());
    for (Member member : members) {
      decider.updateMember(0, member, Health.ALIVE);
      decider.onMessage(
          0,
          member.id(),
          new ControlMessage.LoadReport(
              member.id(), new Load(8, 0, 0, true, member.generation(), member.boot())));
    }
    decider.tick(1);
    report.add("routingHeapMegabytes", (usedHeap() - heapBefore) / 1e6);
    routeRequests(decider, 0);
    final long cpuBefore = cpuNanos();
    routeRequests(decider, REQUEST_COUNT);
    report.add("routingMicrosPerRequest", (cpuNanos() - cpuBefore) / 1e3 / REQUEST_COUNT);
    final long cpuBeforeChanges = cpuNanos();
    for (int i = 0; i < 50; i++) {
      decider.updateMember(3, members.get(i % members.size()), Health.ALIVE);
      decider.tick(3);
    }
    report.add("routingMillisPerMemberChange", (cpuNanos() - cpuBeforeChanges) / 1e6 / 50);
  }

  private static void routeRequests(RequestDecider decider, int firstIndex) {
    Target target = new Target(true, "m");
    for (int i = firstIndex; i < firstIndex + REQUEST_COUNT; i++) {
      String id = "q" + i;
      decider.onRequest(
          2,
          new RequestSpec(
              id,
              "a",
              target,
              true,
              true,
              0,
              10,
              10,
              i,
              90_000,
              "",
              "",
              "POST",
              "/",
              "",
              new byte[0]));
      decider.onCallerDisconnect(2, id);
    }
  }

  private static Member createMember(int index, long boot) {
    return new Member(
        "member-" + index,
        Role.AGENT,
        "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255) + ":4200",
        "r" + Math.floorMod(index, REGION_COUNT),
        "d" + Math.floorMod(index, DOMAIN_COUNT),
        "",
        boot,
        1,
        false,
        new Generation("m", "0123456789abcdef".repeat(4), 7),
        "0123456789abcdef".repeat(4));
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
