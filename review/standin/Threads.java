/** Starts threads that do not keep the process alive. */
final class Threads {

  private Threads() {}

  static void start(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 262_144);
    thread.setDaemon(true);
    thread.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
