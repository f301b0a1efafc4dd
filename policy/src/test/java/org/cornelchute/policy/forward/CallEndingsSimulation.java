package org.cornelchute.policy.forward;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * One entry before sound and faulty endpoints in virtual time, with an oracle for the ways in which
 * calls may end.
 *
 * <p>A sound endpoint may be silent for a time and then goes on where it was. The oracle notes a
 * violation if a call has not exactly one end by its deadline, if it ends before its deadline
 * although a sound endpoint still works on it, if a rejection says that it was not executed
 * although it was or is later, if it is executed more often than allowed, or if a response is not
 * complete.
 */
final class CallEndingsSimulation {

  static final long TIMEOUT_MILLIS = 4_000;

  /** Service that each kind of endpoint belongs to, with the services that share its calls. */
  static final List<String> ENGINE_SERVICES = List.of("engines", "engines-b");

  static final List<String> PLAIN_SERVICES = List.of("plain", "plain-b");

  /** Time that callers wait, more than the timeout of the routes unless that is changed. */
  private static final long CALLER_DEADLINE_MILLIS = 2 * TIMEOUT_MILLIS;

  private static final long SWEEP_MILLIS = 50;
  private static final long NETWORK_MILLIS = 2;
  private static final long STEP_MILLIS = 80;
  private static final int STREAM_EVENTS = 12;
  private static final int MAX_ATTEMPTS = 2;
  private static final int ENGINES = 8;
  private static final int PLAIN = 4;

  /** Number of calls that were not rejected, by kind of route. */
  final Map<String, Integer> servedByRoute = new HashMap<>();

  final List<String> violations = new ArrayList<>();

  /** Stages of calls that were open at some event. */
  final Set<Stage> stagesAtEvents = EnumSet.noneOf(Stage.class);

  final Random random;
  final List<SimulatedEndpoint> endpoints = new ArrayList<>();

  /** Endpoints that are missing from the directory. */
  final List<SimulatedEndpoint> unlisted = new ArrayList<>();

  final CallDecider decider;

  /** Whether the store confirms the configuration. */
  boolean storeAvailable = true;

  /** Settings of the configuration that {@link #publishConfig} sends to the entry. */
  final Set<String> removedRoutes = new HashSet<>();

  final Set<String> removedServices = new HashSet<>();

  /** Weights of the two services of each route; a service with a negative one is not listed. */
  List<Double> weights = List.of(1.0, 1.0);

  long timeoutMillis = TIMEOUT_MILLIS;
  boolean withKey = true;
  List<String> routeRegions = List.of();
  WorkspaceSpec workspace = new WorkspaceSpec("w", 1, List.of());
  long idleTimeoutMillis = ServingConfig.CallerLimits.DEFAULTS.idleTimeoutMillis();

  long now = 1_000_000;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, SimulatedCall> calls = new HashMap<>();
  private long lastNumber;
  private long nextSequence;
  private long configVersion;

  /** Creates a simulation in which all calls share a number of retries in each window. */
  CallEndingsSimulation(long seed, double retryAllowance) {
    random = new Random(seed);
    CallOptions o = Fixture.OPTIONS;
    decider =
        new CallDecider(
            new CallOptions(
                o.self(),
                o.domain(),
                o.region(),
                o.maxKeyAgeMillis(),
                o.maxDenialAgeMillis(),
                o.versionGraceMillis(),
                o.versionCutoffMillis(),
                0,
                retryAllowance,
                o.retryWindowMillis(),
                o.coldOverrunFactor(),
                o.coldAllowance()),
            seed,
            0);
    decider.recordFirstStart();
    for (int i = 0; i < ENGINES; i++) {
      endpoints.add(
          new SimulatedEndpoint(spec("engine" + i, ENGINE_SERVICES.get(i / 2 % 2), i, 1)));
    }
    for (int i = 0; i < PLAIN; i++) {
      endpoints.add(new SimulatedEndpoint(spec("plain" + i, PLAIN_SERVICES.get(i / 2 % 2), i, 0)));
    }
    publishConfig();
    decider.updateEvacuatedDomains(Set.of());
    decider.updateEntries(List.of("e1"));
    listEndpoints();
    decider.recordConfirmation(now);
  }

  // Inputs

  /** Sends the configuration with the current settings to the entry. */
  void publishConfig() {
    List<RouteSpec> routes = new ArrayList<>();
    routes.add(route("resumable", CallKind.STREAM, true, ENGINE_SERVICES));
    routes.add(route("stream", CallKind.STREAM, false, ENGINE_SERVICES));
    routes.add(route("check", CallKind.IDEMPOTENT, false, PLAIN_SERVICES));
    routes.add(route("order", CallKind.NON_IDEMPOTENT, false, PLAIN_SERVICES));
    routes.removeIf(r -> removedRoutes.contains(r.name()));
    List<ServiceSpec> services = new ArrayList<>();
    ENGINE_SERVICES.forEach(name -> services.add(service(name, Fixture.ENGINES)));
    PLAIN_SERVICES.forEach(name -> services.add(service(name, Fixture.PLAIN)));
    services.removeIf(service -> removedServices.contains(service.name()));
    ServingConfig.CallerLimits limits = ServingConfig.CallerLimits.DEFAULTS;
    decider.updateConfig(
        new ServingConfig(
            ++configVersion,
            routes,
            services,
            true,
            withKey ? Map.of(Fixture.KEY, workspace) : Map.of(),
            new ServingConfig.CallerLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                idleTimeoutMillis)));
  }

  private RouteSpec route(String name, CallKind kind, boolean resumable, List<String> services) {
    List<RouteSpec.WeightedService> split = new ArrayList<>();
    for (int i = 0; i < services.size(); i++) {
      if (weights.get(i) >= 0) {
        split.add(new RouteSpec.WeightedService(services.get(i), weights.get(i)));
      }
    }
    return new RouteSpec(
        name,
        "h",
        "/" + name + "/",
        kind,
        resumable,
        timeoutMillis,
        Fixture.TARGET_MILLIS,
        1,
        MAX_ATTEMPTS,
        false,
        routeRegions,
        split);
  }

  private static ServiceSpec service(String name, ServiceSpec like) {
    return new ServiceSpec(
        name,
        like.maxConnections(),
        like.coldStartMillis(),
        like.coldCallsPerSecond(),
        like.engine());
  }

  private static EndpointSpec spec(String id, String service, int index, long version) {
    EndpointSpec like = version > 0 ? Fixture.engine(id, "", version) : Fixture.plain(id);
    String domain = "d" + index % 2;
    return new EndpointSpec(
        id,
        service,
        like.address(),
        domain,
        domain,
        like.slots(),
        false,
        0,
        like.startedAtMillis(),
        like.model(),
        version,
        0);
  }

  /** Sends the list of endpoints, without those that are missing, to the entry. */
  void listEndpoints() {
    decider.updateEndpoints(
        now, endpoints.stream().filter(e -> !unlisted.contains(e)).map(e -> e.spec).toList());
  }

  /** Sends calls of all kinds at a rate. */
  void sendCalls(long untilMillis, double perSecond) {
    String[] routes = {"resumable", "resumable", "stream", "check", "order"};
    double at = now;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      if (at >= now + untilMillis) {
        return;
      }
      String route = routes[random.nextInt(routes.length)];
      schedule((long) at, () -> arrive(route));
    }
  }

  void at(long millis, Runnable action) {
    schedule(now + millis, action);
  }

  /** Runs until all events are handled, with sweeps for a time. */
  void run(long millis) {
    for (long t = 0; t < millis; t += SWEEP_MILLIS) {
      at(
          t,
          () -> {
            if (storeAvailable) {
              decider.recordConfirmation(now);
            }
            apply(decider.sweep(now));
          });
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      now = Math.max(now, event.time);
      event.action.run();
    }
    for (SimulatedCall call : calls.values()) {
      if (!call.ended) {
        violations.add(call + " has no end");
      }
      boolean repeatable = call.route.equals("resumable") || call.route.equals("check");
      if (call.executions > (repeatable ? 2 : 1)) {
        violations.add(call + " was executed " + call.executions + " times");
      }
      if (call.executions > 0 && call.saidNotExecuted) {
        violations.add(call + " was executed, which its rejection denies");
      }
    }
  }

  /** Records at which stages calls are open now. */
  void recordStages() {
    for (SimulatedCall call : calls.values()) {
      if (!call.ended) {
        stagesAtEvents.add(call.stage());
      }
    }
  }

  private void arrive(String route) {
    SimulatedCall call = new SimulatedCall(++lastNumber, route, now);
    calls.put(call.number, call);
    apply(
        decider.onCall(
            now,
            new CallSpec(
                call.number,
                "id-" + call.number,
                "h",
                "/" + route + "/",
                Fixture.KEY,
                CALLER_DEADLINE_MILLIS,
                977,
                94,
                0,
                -1,
                List.of())));
  }

  // Effects

  private void apply(List<CallEffect> effects) {
    for (CallEffect effect : effects) {
      if (effect instanceof CallEffect.Dispatch d) {
        dispatch(d);
      } else if (effect instanceof CallEffect.CancelAttempt c) {
        calls.get(c.call()).jobs.get(c.attempt()).cancel();
      } else if (effect instanceof CallEffect.PromoteBackup p) {
        SimulatedCall call = calls.get(p.call());
        call.current = p.attempt();
        call.jobs.get(p.attempt()).backup = false;
      } else if (effect instanceof CallEffect.Complete c) {
        complete(calls.get(c.call()), c.attempt());
      } else if (effect instanceof CallEffect.AbortResponse a) {
        SimulatedCall call = calls.get(a.call());
        end(call, "aborted: " + a.reason());
      } else if (effect instanceof CallEffect.Reject r) {
        SimulatedCall call = calls.get(r.call());
        call.saidNotExecuted = r.rejection().guaranteesNotExecuted();
        end(call, r.rejection() + ": " + r.reason());
      }
    }
  }

  private void dispatch(CallEffect.Dispatch d) {
    SimulatedCall call = calls.get(d.call());
    SimulatedEndpoint endpoint =
        endpoints.stream()
            .filter(e -> e.spec.id().equals(d.endpoint().id()))
            .findFirst()
            .orElseThrow();
    Job job = new Job(call, d.attempt(), endpoint, Math.max(0, d.resumeAfterEventId()));
    call.jobs.put(d.attempt(), job);
    job.backup = d.backup();
    if (!d.backup()) {
      call.current = d.attempt();
    }
    schedule(now + NETWORK_MILLIS, job::arrive);
  }

  private void complete(SimulatedCall call, int attempt) {
    Job job = call.jobs.get(attempt);
    if (!job.finished || call.current != attempt) {
      violations.add(call + " was completed by attempt " + attempt + ", which has not ended");
    }
    if (call.isStream() && call.deliveredEvents != STREAM_EVENTS) {
      violations.add(call + " was completed after " + call.deliveredEvents + " events");
    }
    servedByRoute.merge(call.route, 1, Integer::sum);
    end(call, "complete");
  }

  private void end(SimulatedCall call, String how) {
    // The entry ends all exchanges of a call with the call.
    call.jobs.values().forEach(Job::cancel);
    if (call.ended) {
      violations.add(call + " ended twice: " + how);
    }
    call.ended = true;
    long elapsed = now - call.arrivedAt;
    if (elapsed > call.timeoutMillis + 2 * SWEEP_MILLIS) {
      violations.add(call + " ended after " + elapsed + " ms: " + how);
    }
    if (how.equals("complete") || elapsed >= call.timeoutMillis) {
      return;
    }
    for (Job job : call.jobs.values()) {
      if (job.wasLost()) {
        violations.add(call + " ended after " + elapsed + " ms at a sound endpoint: " + how);
      }
      if (job.finished && !job.errorResponse && job.hasNews()) {
        violations.add(call + " ended after the complete response of an endpoint: " + how);
      }
    }
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, nextSequence++, action));
  }

  /** An endpoint that executes each call in steps. */
  final class SimulatedEndpoint {
    EndpointSpec spec;
    long silentUntil;

    /** Whether it breaks off all responses and accepts no connection. */
    boolean down;

    /** Whether it refuses new calls without executing them. */
    boolean refusing;

    final List<Job> jobs = new ArrayList<>();

    SimulatedEndpoint(EndpointSpec spec) {
      this.spec = spec;
    }

    void silence(long millis) {
      silentUntil = Math.max(silentUntil, now + millis);
    }

    void crash() {
      down = true;
      List.copyOf(jobs).forEach(Job::breakOff);
    }
  }

  /** One attempt at one endpoint. */
  private final class Job {
    final SimulatedCall call;
    final int attempt;
    final SimulatedEndpoint endpoint;
    final boolean errorResponse = random.nextInt(40) == 0;

    /** Id of the last event that the caller had when the attempt was sent, 0 if none. */
    final long lastEventIdBefore;

    long nextEvent;
    boolean headSent;
    boolean finished;
    boolean broken;
    boolean started;

    /** Time at which the entry gave up the attempt, 0 if it did not. */
    long givenUpAt;

    /** Number of events that the caller had received by then. */
    long deliveredWhenGivenUp;

    /** Whether the attempt went on beside another one and did not replace it. */
    boolean backup;

    /** Whether the entry gave it up before it began since its weights must not be used any more. */
    boolean superseded;

    Job(SimulatedCall call, int attempt, SimulatedEndpoint endpoint, long lastEventId) {
      this.call = call;
      this.attempt = attempt;
      this.endpoint = endpoint;
      this.lastEventIdBefore = lastEventId;
      this.nextEvent = lastEventId + 1;
    }

    /** Returns whether a sound endpoint was given up though nothing better came of it. */
    boolean wasLost() {
      boolean sound = started && !broken && !errorResponse;
      boolean replaced = call.deliveredEvents > deliveredWhenGivenUp;
      return givenUpAt > 0 && sound && !superseded && !replaced && !backup;
    }

    /** Returns whether the response tells the caller more than it had before this attempt. */
    boolean hasNews() {
      return !call.isStream() || lastEventIdBefore < STREAM_EVENTS;
    }

    void cancel() {
      if (!finished && !broken && givenUpAt == 0) {
        givenUpAt = now;
        deliveredWhenGivenUp = call.deliveredEvents;
        superseded = !headSent && endpoint.spec.version() > 0 && versionAssigned;
        endpoint.jobs.remove(this);
      }
    }

    void breakOff() {
      broken = true;
      endpoint.jobs.remove(this);
      if (givenUpAt == 0 && !finished) {
        apply(decider.onAttemptFailure(now, call.number, attempt, true, "broken off"));
      }
    }

    void arrive() {
      if (givenUpAt > 0) {
        return;
      }
      if (endpoint.down) {
        broken = true;
        apply(decider.onAttemptFailure(now, call.number, attempt, false, "connect failed"));
        return;
      }
      endpoint.jobs.add(this);
      next(this::begin);
    }

    /** Continues after a step of work, or once the endpoint is no longer silent. */
    private void next(Runnable step) {
      long at = Math.max(now, endpoint.silentUntil) + 1 + random.nextInt((int) STEP_MILLIS);
      schedule(at, () -> run(step));
    }

    private void run(Runnable step) {
      if (givenUpAt > 0 || broken) {
        return;
      }
      if (now < endpoint.silentUntil) {
        schedule(endpoint.silentUntil, () -> run(step));
        return;
      }
      step.run();
    }

    private void begin() {
      if (endpoint.refusing) {
        broken = true;
        endpoint.jobs.remove(this);
        apply(decider.onResponseHead(now, call.number, attempt, Fixture.notExecuted()));
        return;
      }
      started = true;
      call.executions++;
      next(this::sendHead);
    }

    private void sendHead() {
      headSent = true;
      long version = endpoint.spec.version();
      ResponseHead head =
          errorResponse
              ? Fixture.head(500)
              : new ResponseHead(200, false, false, true, false, version, -1, 0, NamedLimit.NONE);
      apply(decider.onResponseHead(now, call.number, attempt, head));
      if (givenUpAt == 0) {
        next(errorResponse || !call.isStream() ? this::finish : this::sendEvent);
      }
    }

    private void sendEvent() {
      if (nextEvent > STREAM_EVENTS) {
        finish();
        return;
      }
      long id = nextEvent++;
      apply(decider.onResponseProgress(now, call.number, attempt, id));
      if (givenUpAt == 0 && call.current == attempt) {
        if (id != call.deliveredEvents + 1) {
          violations.add(call + " received event " + id + " after " + call.deliveredEvents);
        }
        call.deliveredEvents = id;
      }
      if (givenUpAt == 0) {
        next(this::sendEvent);
      }
    }

    private void finish() {
      finished = true;
      if (errorResponse) {
        call.deliveredEvents = STREAM_EVENTS;
      }
      endpoint.jobs.remove(this);
      apply(decider.onResponseEnd(now, call.number, attempt));
    }
  }

  /** Whether new weights were assigned, so that attempts that have not begun may be given up. */
  boolean versionAssigned;

  /** One call and what its caller saw. */
  private final class SimulatedCall {
    final long number;
    final String route;
    final long arrivedAt;
    final long timeoutMillis;
    final Map<Integer, Job> jobs = new HashMap<>();
    int current;
    long deliveredEvents;
    int executions;
    boolean ended;
    boolean saidNotExecuted;

    SimulatedCall(long number, String route, long arrivedAt) {
      this.number = number;
      this.route = route;
      this.arrivedAt = arrivedAt;
      Optional<RouteSpec> spec = decider.config().findRoute("h", "/" + route + "/");
      this.timeoutMillis =
          Math.min(
              CALLER_DEADLINE_MILLIS, spec.map(RouteSpec::timeoutMillis).orElse(TIMEOUT_MILLIS));
    }

    Stage stage() {
      Job job = jobs.get(current);
      if (job == null) {
        return Stage.QUEUED;
      }
      if (jobs.size() > 1) {
        boolean begun = jobs.values().stream().anyMatch(j -> j.attempt > 1 && j.headSent);
        return begun ? Stage.SECOND_ATTEMPT_BEGUN : Stage.RETRIED;
      }
      if (!job.headSent) {
        return Stage.DISPATCHED;
      }
      return deliveredEvents > 0 ? Stage.EVENTS_DELIVERED : Stage.HEAD_RECEIVED;
    }

    boolean isStream() {
      return route.equals("resumable") || route.equals("stream");
    }

    @Override
    public String toString() {
      return route + " call " + number;
    }
  }

  /** How far a call has come. */
  enum Stage {
    QUEUED,
    DISPATCHED,
    HEAD_RECEIVED,
    EVENTS_DELIVERED,
    RETRIED,
    SECOND_ATTEMPT_BEGUN
  }

  private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return time == other.time
          ? Long.compare(sequence, other.sequence)
          : Long.compare(time, other.time);
    }
  }
}
