"""See jobs through from their arrival to their answer."""
