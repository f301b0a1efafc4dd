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

/** One daemon's deciders with as many members as the target has, in this process. */
final class StateBench implements Bench {

  private static final int REGION_COUNT = 4;
  private static final int DOMAIN_COUNT = 13;
  private static final int MEASURED_SECONDS = 120;
  private static final int REQUEST_COUNT = 2_000;

  /** Members that fail or restart in a day at the target: 190 and 950, each seen as two changes. */
  private static final double MEMBER_CHANGES_PER_SECOND = 2 * (190 + 950) / 86_400.0;

  private final MessageCodec codec = new MessageCodec();
  private final Map<String, String> idByAddress = new HashMap<>();

  @Override
  public String name() {
    return "state";
  }

  @Override
  public String summary() {
    return "heap, processor time and bytes of one daemon's deciders with --daemons members";
  }

  @Override
  public Report run(BenchOptions o) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < o.daemons(); i++) {
      members.add(createMember(i, 1));
      idByAddress.put(members.get(i).address(), members.get(i).id());
    }
    Report r = new Report();
    r.add("members", o.daemons());
    measureMembership(members, r);
    measurePlacement(members, r);
    measureRouting(members, r);
    return r;
  }

  private void measureMembership(List<Member> members, Report r) {
    final long heapBefore = usedHeap();
    MembershipDecider d = new MembershipDecider(createMember(-1, 1), List.of(), 1);
    List<MembershipUpdate> all = new ArrayList<>();
    members.forEach(m -> all.add(new MembershipUpdate(m, Health.ALIVE)));
    r.add("joinBytes", codec.encode(new ControlMessage.Members(all)).length);
    d.mergeSnapshot(0, all);
    // The first minutes spread the members themselves; they are not measured.
    simulate(d, members, 0, 2 * MEASURED_SECONDS, new long[2]);
    r.add("membershipHeapMegabytes", (usedHeap() - heapBefore) / 1e6);
    long[] bytes = new long[2];
    final long cpu = cpuNanos();
    simulate(d, members, 2 * MEASURED_SECONDS, MEASURED_SECONDS, bytes);
    r.add("membershipCorePercent", (cpuNanos() - cpu) / 1e7 / MEASURED_SECONDS);
    r.add("bytesSentPerSecond", (double) bytes[0] / MEASURED_SECONDS);
    r.add("bytesReceivedPerSecond", (double) bytes[1] / MEASURED_SECONDS);
  }

  /** Ticks ten times a second; every probed member answers, and one member probes back a second. */
  private void simulate(
      MembershipDecider d, List<Member> members, int from, int seconds, long[] bytes) {
    Random random = new Random(3);
    double changes = 0;
    for (long now = from * 1_000L; now < (from + seconds) * 1_000L; now += 100) {
      for (MembershipEffect e : d.tick(now)) {
        if (e instanceof MembershipEffect.SendDatagram g) {
          bytes[0] += codec.encode(g.message()).length;
          if (g.message() instanceof ControlMessage.Ping p) {
            ControlMessage.Ack ack =
                new ControlMessage.Ack(p.sequence(), idByAddress.get(g.address()), 1, p.updates());
            bytes[1] += codec.encode(ack).length;
            d.onAck(now, ack);
          }
        }
      }
      changes += MEMBER_CHANGES_PER_SECOND / 10;
      List<MembershipUpdate> news = new ArrayList<>();
      final boolean changed = changes >= 1;
      for (; changes >= 1; changes--) {
        int i = random.nextInt(members.size());
        members.set(i, createMember(i, now + 2));
        news.add(new MembershipUpdate(members.get(i), Health.ALIVE));
      }
      if (now % 1_000 == 0) {
        Member from1 = members.get(random.nextInt(members.size()));
        ControlMessage.Ping ping = new ControlMessage.Ping(now, from1.id(), 1, news);
        bytes[1] += codec.encode(ping).length;
        for (MembershipEffect e : d.onPing(now, from1.address(), ping)) {
          if (e instanceof MembershipEffect.SendDatagram g) {
            bytes[0] += codec.encode(g.message()).length;
          }
        }
        news.clear();
      } else if (!news.isEmpty()) {
        d.mergeSnapshot(now, news);
      }
      // The view that the control duty copies after changes, and every five seconds.
      if (changed || now % 5_000 == 0) {
        d.members();
        d.snapshot();
      }
    }
  }

  private static void measurePlacement(List<Member> members, Report r) {
    StringBuilder text = new StringBuilder("place m v1 on");
    for (int i = 0; i < DOMAIN_COUNT; i++) {
      text.append(" d").append(i).append("=30");
    }
    Rules rules = RulesParser.parse(1, text + " # asked: bench\n").get();
    for (int i = 0; i < 20; i++) {
      Placement.compute(rules, members);
    }
    final long cpu = cpuNanos();
    for (int i = 0; i < 20; i++) {
      Placement.compute(rules, members);
    }
    r.add("placementMillis", (cpuNanos() - cpu) / 1e6 / 20);
  }

  private static void measureRouting(List<Member> members, Report r) {
    final long heapBefore = usedHeap();
    RequestDecider d = new RequestDecider("entry", "r0", RoutingOptions.DEFAULTS, 1);
    d.updateRules(0, RulesParser.parse(1, "weight a 10 # asked: bench\n").get());
    for (Member m : members) {
      d.updateMember(0, m, Health.ALIVE);
      d.onMessage(
          0,
          m.id(),
          new ControlMessage.LoadReport(m.id(), new Load(8, 0, 0, true, m.generation(), m.boot())));
    }
    d.tick(1);
    r.add("routingHeapMegabytes", (usedHeap() - heapBefore) / 1e6);
    routeRequests(d, 0);
    final long cpu = cpuNanos();
    routeRequests(d, REQUEST_COUNT);
    r.add("routingMicrosPerRequest", (cpuNanos() - cpu) / 1e3 / REQUEST_COUNT);
    final long changed = cpuNanos();
    for (int i = 0; i < 50; i++) {
      d.updateMember(3, members.get(i % members.size()), Health.ALIVE);
      d.tick(3);
    }
    r.add("routingMillisPerMemberChange", (cpuNanos() - changed) / 1e6 / 50);
  }

  private static void routeRequests(RequestDecider d, int from) {
    Target target = new Target(true, "m");
    for (int i = from; i < from + REQUEST_COUNT; i++) {
      String id = "q" + i;
      d.onRequest(
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
      d.onCallerDisconnect(2, id);
    }
  }

  private static Member createMember(int i, long boot) {
    return new Member(
        "member-" + i,
        Role.AGENT,
        "10." + (i >> 16 & 255) + "." + (i >> 8 & 255) + "." + (i & 255) + ":4200",
        "r" + Math.floorMod(i, REGION_COUNT),
        "d" + Math.floorMod(i, DOMAIN_COUNT),
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
