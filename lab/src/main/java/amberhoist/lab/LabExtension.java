package amberhoist.lab;

import amberhoist.cli.Extension;

/** Adds the {@code lab} command to the command line. */
public final class LabExtension implements Extension {
  @Override
  public Object command() {
    return new LabCommand();
  }
}
