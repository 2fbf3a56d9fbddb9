__all__ = ['ttypes', 'constants', 'Node', 'Owner', 'Executor']
