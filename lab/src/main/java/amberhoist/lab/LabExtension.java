package amberhoist.lab;

import amberhoist.cli.Extension;

/** Brings {@code lab} to the command tree. */
public final class LabExtension implements Extension {
  @Override
  public Object command() {
    return new LabCommand();
  }
}
