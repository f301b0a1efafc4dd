package org.cornelchute.policy.lifecycle;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.cornelchute.core.message.ControlMessage.Health;
import org.cornelchute.core.message.Message;
import org.cornelchute.core.message.ServingMessage;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.admission.AdmissionDecider;
import org.cornelchute.policy.admission.AdmissionEffect;
import org.cornelchute.policy.admission.AdmissionOptions;
import org.cornelchute.policy.routing.Claim;
import org.cornelchute.policy.routing.Refusal;
import org.cornelchute.policy.routing.RequestDecider;
import org.cornelchute.policy.routing.RequestSpec;
import org.cornelchute.policy.routing.RoutingEffect;
import org.cornelchute.policy.routing.RoutingOptions;
import org.cornelchute.policy.routing.Target;
import org.cornelchute.policy.rules.Rules;
import org.cornelchute.policy.rules.RulesParser;

/**
 * Entries, agents, endpoints and the table service joined by connections in virtual time; just
 * enough to drive the deciders. Connections keep order and break; nothing else is lost.
 */
final class FakeServing {

  static final Target SERVICE = new Target(false, "pedidos");
  private static final int PARTS = 3;
  private static final long TICK_MILLIS = 20;
  private static final Rules RULES = RulesParser.parse(1, "weight a 10 # asked: t\n").get();

  final Random random;
  final Map<String, Entry> entries = new TreeMap<>();
  final Map<String, Agent> agents = new TreeMap<>();
  final Map<String, Caller> callers = new TreeMap<>();
  final Map<String, Integer> runs = new HashMap<>();
  final Map<String, Row> rows = new HashMap<>();
  boolean faults = true;
  boolean storeOut;
  long now;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Link> links = new HashMap<>();
  private long sequence;
  private long connections;
  private long boots;

  FakeServing(int entryCount, int agentCount, long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < agentCount; i++) {
      startAgent("agent" + i);
    }
    for (int i = 0; i < entryCount; i++) {
      startEntry("entry" + i);
    }
  }

  // Faults

  void startEntry(String id) {
    Entry e = new Entry(id);
    e.decider = new RequestDecider(id, "r", RoutingOptions.DEFAULTS, random.nextLong());
    entries.put(id, e);
    run(e, e.decider.rules(now, RULES));
    for (Agent a : agents.values()) {
      run(e, e.decider.memberChanged(now, a.member, Health.ALIVE));
    }
    tickLater(e);
  }

  void startAgent(String id) {
    Agent a = new Agent();
    a.member =
        new Member(
            id, Role.AGENT, id, "r", "d", SERVICE.name(), ++boots, 1, false, Generation.NONE, "");
    a.decider = new AdmissionDecider(id, boots, false, AdmissionOptions.DEFAULTS);
    agents.put(id, a);
    run(a, a.decider.rules(now, RULES, false));
    run(a, a.decider.serving(now, true, Generation.NONE));
    tickLater(a);
    for (Entry e : entries.values()) {
      at(
          now + random.nextInt(1_000),
          () -> run(e, e.decider.memberChanged(now, a.member, Health.ALIVE)));
    }
  }

  void crashAgent(String id, boolean noticed) {
    Agent a = agents.remove(id);
    a.dead = true;
    for (Entry e : entries.values()) {
      cut(e.id, id);
      if (noticed) {
        at(now + 5_000, () -> run(e, e.decider.memberChanged(now, a.member, Health.DEAD)));
      }
    }
  }

  void crashEntry(String id) {
    Entry e = entries.remove(id);
    e.dead = true;
    for (String agent : new ArrayList<>(agents.keySet())) {
      cut(id, agent);
    }
    for (Caller c : callers.values()) {
      c.abandoned |= c.entry == e;
    }
  }

  /** Breaks the connection; what is under way in either direction is lost. */
  void cut(String entry, String agent) {
    Link l = links.remove(entry + ">" + agent);
    if (l == null) {
      return;
    }
    l.open = false;
    Entry e = l.from;
    at(now + 1 + random.nextInt(50), () -> run(e, e.decider.agentLost(now, agent)));
    Agent a = l.to;
    at(now + 1 + random.nextInt(50), () -> run(a, a.decider.connectionLost(now, l.number)));
  }

  // Callers

  /** Sends a request; {@code key} may be empty. */
  Caller send(String entry, String id, boolean repeatable, String key) {
    Caller c = new Caller(id, key.isEmpty() ? id : key, entries.get(entry));
    c.repeatable = repeatable;
    callers.put(id, c);
    RequestSpec spec =
        new RequestSpec(
            id,
            "a",
            SERVICE,
            repeatable,
            false,
            0,
            10,
            10,
            0,
            now + 20_000,
            key,
            key,
            "POST",
            "/x",
            "",
            c.work.getBytes(StandardCharsets.UTF_8));
    run(c.entry, c.entry.decider.arrive(now, spec));
    return c;
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().at <= millis) {
      Event e = events.poll();
      now = Math.max(now, e.at);
      e.action.run();
    }
    now = millis;
  }

  static String expected(String work) {
    return work + "|" + work + "|" + work + "|";
  }

  // Effects

  private void run(Entry e, List<RoutingEffect> effects) {
    if (e.dead) {
      return;
    }
    for (RoutingEffect x : effects) {
      if (x instanceof RoutingEffect.Send s) {
        sendToAgent(e, s.agent(), s.message());
      } else if (x instanceof RoutingEffect.Part p) {
        callers.get(p.request()).text.append(new String(p.bytes(), StandardCharsets.UTF_8));
      } else if (x instanceof RoutingEffect.Finish f) {
        callers.get(f.request()).end("whole");
      } else if (x instanceof RoutingEffect.Cut c) {
        callers.get(c.request()).end("cut");
      } else if (x instanceof RoutingEffect.Refuse r) {
        callers.get(r.request()).end(r.refusal() == Refusal.NOT_RUN ? "not run" : "unknown");
      } else if (x instanceof RoutingEffect.ReadClaim c) {
        readClaim(e, c);
      } else if (x instanceof RoutingEffect.WriteClaim c) {
        writeClaim(e, c);
      }
    }
  }

  private void run(Agent a, List<AdmissionEffect> effects) {
    if (a.dead) {
      return;
    }
    for (AdmissionEffect x : effects) {
      if (x instanceof AdmissionEffect.Reply r) {
        sendToEntry(a, r.connection(), r.message());
      } else if (x instanceof AdmissionEffect.Forward f) {
        forward(a, f);
      } else if (x instanceof AdmissionEffect.Abort b) {
        a.aborted.add(b.key().toString());
      }
    }
  }

  private void sendToAgent(Entry e, String agent, Message m) {
    Agent a = agents.get(agent);
    if (a == null) {
      at(now + 2, () -> run(e, e.decider.undelivered(now, agent, m)));
      return;
    }
    Link l = links.computeIfAbsent(e.id + ">" + agent, k -> new Link(++connections, e, a));
    a.links.put(l.number, l);
    l.lastDown = Math.max(l.lastDown, now + 1 + random.nextInt(30));
    at(
        l.lastDown,
        () -> {
          if (l.open && !a.dead) {
            receive(a, l.number, m);
          }
        });
  }

  private void receive(Agent a, long connection, Message m) {
    if (m instanceof ServingMessage.Dispatch d) {
      run(a, a.decider.dispatch(now, connection, d));
    } else if (m instanceof ServingMessage.Seal s) {
      run(a, a.decider.seal(now, connection, s));
    } else if (m instanceof ServingMessage.Cancel c) {
      run(a, a.decider.cancel(now, c));
    } else {
      run(a, a.decider.loadRequested(connection));
    }
  }

  private void sendToEntry(Agent a, long connection, Message m) {
    Link l = a.links.get(connection);
    if (l == null) {
      return;
    }
    l.lastUp = Math.max(l.lastUp, now + 1 + random.nextInt(30));
    String agent = a.member.id();
    at(
        l.lastUp,
        () -> {
          if (l.open && !l.from.dead) {
            run(l.from, l.from.decider.received(now, agent, m));
          }
        });
  }

  /** The endpoint runs the request at once; its answer comes in parts and may break off. */
  private void forward(Agent a, AdmissionEffect.Forward f) {
    String work = new String(f.dispatch().body(), StandardCharsets.UTF_8);
    int fate = faults ? random.nextInt(20) : 19;
    if (fate == 0) {
      at(now + 1, () -> run(a, a.decider.endpointRefused(now, f.key())));
      return;
    }
    runs.merge(work, 1, Integer::sum);
    long when = now + 1 + random.nextInt(300);
    at(when, () -> run(a, a.decider.answerHead(now, f.key(), 200, "t", "")));
    int parts = fate == 1 ? random.nextInt(PARTS) : PARTS;
    for (int i = 0; i < parts; i++) {
      byte[] bytes = (work + "|").getBytes(StandardCharsets.UTF_8);
      when += 1 + random.nextInt(100);
      at(when, () -> run(a, a.decider.answerPart(now, f.key(), bytes)));
    }
    boolean whole = parts == PARTS;
    at(when + 1, () -> run(a, a.decider.answerEnd(now, f.key(), whole, 10)));
  }

  private void readClaim(Entry e, RoutingEffect.ReadClaim c) {
    at(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = rows.get(c.row());
          if (storeOut) {
            run(e, e.decider.claimFailed(now, c.request()));
          } else if (row == null) {
            run(e, e.decider.claimRead(now, c.request(), Optional.empty(), 0));
          } else {
            run(e, e.decider.claimRead(now, c.request(), Optional.of(row.claim), row.version));
          }
        });
  }

  private void writeClaim(Entry e, RoutingEffect.WriteClaim c) {
    at(
        now + 1 + random.nextInt(40),
        () -> {
          Row row = rows.get(c.row());
          long version = row == null ? 0 : row.version;
          Either<Failure, Long> result;
          if (storeOut) {
            result = Either.left(Failure.unavailable("out"));
          } else if (version != c.expected()) {
            result = Either.left(new Failure(Failure.Code.CONFLICT, "conflict"));
          } else {
            rows.put(c.row(), new Row(c.claim(), version + 1));
            boolean lost = faults && random.nextInt(5) == 0;
            result = lost ? Either.left(Failure.unknown("lost")) : Either.right(version + 1);
          }
          at(
              now + 1 + random.nextInt(40),
              () -> run(e, e.decider.claimWritten(now, c.request(), result)));
        });
  }

  private void tickLater(Entry e) {
    at(
        now + TICK_MILLIS,
        () -> {
          if (!e.dead) {
            run(e, e.decider.tick(now));
            tickLater(e);
          }
        });
  }

  private void tickLater(Agent a) {
    at(
        now + TICK_MILLIS,
        () -> {
          if (!a.dead) {
            run(a, a.decider.tick(now));
            tickLater(a);
          }
        });
  }

  private void at(long when, Runnable action) {
    events.add(new Event(when, sequence++, action));
  }

  static final class Entry {
    final String id;
    RequestDecider decider;
    boolean dead;

    Entry(String id) {
      this.id = id;
    }
  }

  static final class Agent {
    final Map<Long, Link> links = new HashMap<>();
    final List<String> aborted = new ArrayList<>();
    Member member;
    AdmissionDecider decider;
    boolean dead;
  }

  static final class Caller {
    final String id;
    final String work;
    final Entry entry;
    final StringBuilder text = new StringBuilder();
    String outcome = "";
    int outcomes;
    boolean repeatable;
    boolean abandoned;

    Caller(String id, String work, Entry entry) {
      this.id = id;
      this.work = work;
      this.entry = entry;
    }

    void end(String how) {
      outcome = how;
      outcomes++;
    }
  }

  private static final class Link {
    final long number;
    final Entry from;
    final Agent to;
    boolean open = true;
    long lastDown;
    long lastUp;

    Link(long number, Entry from, Agent to) {
      this.number = number;
      this.from = from;
      this.to = to;
    }
  }

  record Row(Claim claim, long version) {}

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }
}
